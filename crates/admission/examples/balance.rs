//! Prints the imbalance of a service under sibling selection and under a plain hash.

#[path = "../tests/common/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "the example uses a part of the helpers")]
#[path = "../tests/common/scenario.rs"]
mod scenario;

use fleet::{Balance, simulate};

fn main() {
    println!(
        "{:28} {:14} {:>4} {:>9} {:>7} {:>7}  in-flight; open flows",
        "scenario", "policy", "seed", "imbalance", "forward", "refused"
    );
    for (name, fleet) in scenario::all() {
        for seed in 1..=3 {
            for balance in [Balance::PlainHash, Balance::SiblingChoice] {
                let mut fleet = fleet.clone();
                fleet.seed = seed;
                fleet.balance = balance;
                let result = simulate(&fleet);
                let in_flight: Vec<String> = result
                    .in_flight
                    .iter()
                    .map(|value| format!("{value:.2}"))
                    .collect();
                println!(
                    "{name:28} {:14} {seed:>4} {:>9.3} {:>6.1}% {:>7}  {}; {:?}",
                    format!("{balance:?}"),
                    result.imbalance(),
                    100.0 * result.forwarded as f64 / result.opened as f64,
                    result.refused,
                    in_flight.join(" "),
                    result.open_flows,
                );
            }
        }
    }
}
