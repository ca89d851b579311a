//! Era of the platform store, as its answers report it.

use hawthorntide_types::StoreEra;
use metrics::gauge;
use reqwest::header::HeaderMap;
use tokio::sync::watch;

/// Receives the era of the store whenever it changes; `None` until the store has answered.
pub type EraReceiver = watch::Receiver<Option<StoreEra>>;

/// Era that the last answer of the store reported.
#[derive(Debug, Default)]
pub(crate) struct EraObserver {
    era: watch::Sender<Option<StoreEra>>,
}

impl EraObserver {
    pub(crate) fn current(&self) -> StoreEra {
        self.era.borrow().unwrap_or_default()
    }

    pub(crate) fn subscribe(&self) -> EraReceiver {
        self.era.subscribe()
    }

    /// Returns whether the store has answered a call.
    pub(crate) fn is_known(&self) -> bool {
        self.era.borrow().is_some()
    }

    /// Returns the era that an answer reports in the header `name`. An answer that reports none
    /// counts to the last known one.
    pub(crate) fn observe(&self, headers: &HeaderMap, name: &str) -> StoreEra {
        let known = *self.era.borrow();
        let reported = read_era(headers, name);
        let era = reported.or(known).unwrap_or_default();
        let is_changed = self.era.send_if_modified(|current| {
            let is_changed = *current != Some(era);
            *current = Some(era);
            is_changed
        });
        if is_changed {
            gauge!("hawthorntide_store_era").set(era.get() as f64);
            match known {
                Some(known) => log::warn!(
                    "store: The store came back from a copy: its era changed from {known} to {era}."
                ),
                None => log::info!("store: The store is in era {era}."),
            }
        }
        era
    }
}

fn read_era(headers: &HeaderMap, name: &str) -> Option<StoreEra> {
    let value = headers.get(name)?;
    let era = value.to_str().ok().and_then(|text| text.parse().ok());
    let era = era.filter(|era| *era <= StoreEra::MAX);
    if era.is_none() {
        log::warn!("store: Malformed era {value:?} in an answer of the store ignored.");
    }
    era
}
