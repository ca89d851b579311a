//! Tests that answers of the object API are read object by object.

use googletest::prelude::*;
use hawthorntide_store::{Collection, ObjectApi, StoreDialect};
use hawthorntide_types::Revision;

/// Guards against profiles and services that nobody reads, or whose changes nobody sees any more, because
/// of one object that another program wrote.
#[gtest]
fn a_malformed_object_hides_no_other() {
    let good =
        |name: &str| format!(r#"{{"kind":"profile","name":"{name}","version":3,"value":"{{}}"}}"#);
    let deep = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let malformed = [
        "null".to_owned(),
        r#"{"kind":"profile","name":"x","version":18446744073709551616,"value":"{}"}"#.to_owned(),
        r#"{"kind":"profile","name":7,"version":3,"value":"{}"}"#.to_owned(),
        format!(r#"{{"kind":"profile","name":"x","version":3,"value":{deep}}}"#),
        r#"{"kind":"profile","name":"x","version":3,"value":"~"}"#.to_owned(),
    ];
    for malformed in malformed {
        let objects = [good("a"), malformed, good("b")].join(",");
        let bytes = |body: String| -> Vec<u8> {
            let body = body.into_bytes().into_iter();
            body.map(|byte| if byte == b'~' { 0xff } else { byte })
                .collect()
        };
        let list = bytes(format!(r#"{{"revision":9,"objects":[{objects}]}}"#));
        let page = ObjectApi.list_answer(Collection::Own, &list).unwrap();
        let names: Vec<_> = page.objects.iter().map(|it| it.name.as_str()).collect();
        expect_that!(names, elements_are![eq(&"a"), eq(&"b")]);
        expect_that!(page.skipped.len(), eq(1));
        let watch = bytes(format!(r#"{{"revision":9,"events":[{objects}]}}"#));
        let page = ObjectApi.watch_answer(Collection::Own, &watch).unwrap();
        let names: Vec<_> = page.changes.iter().map(|it| it.name.as_str()).collect();
        expect_that!(names, elements_are![eq(&"a"), eq(&"b")]);
        expect_that!(page.revision, eq(Revision(9)));
    }
}
