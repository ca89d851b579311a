//! Validity of the example profiles.

use googletest::prelude::*;
use hawthorntide_types::{Profile, ProfileName};

/// Guards against example profiles that the software rejects.
#[gtest]
fn example_profiles_are_valid_and_named_after_their_files() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/profiles");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the folder is readable").path();
        let text = std::fs::read_to_string(&path).expect("the file is readable");
        let profile: Profile =
            jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
                .expect("the file is JSON with comments and has the fields of a profile");
        expect_that!(profile.check(), is_empty(), "{path:?}");
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        expect_that!(stem, some(eq(ProfileName::as_str(&profile.name))));
        count += 1;
    }
    expect_that!(count, ge(3));
}
