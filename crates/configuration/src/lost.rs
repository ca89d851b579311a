//! Finds confirmed changes that the platform store has lost, so that they can be written again.

use std::sync::Arc;

use hawthorntide_types::{StoreEra, Version};

use crate::replica::Object;

/// Object whose latest known version the platform store has lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostObject {
    pub object: Arc<Object>,
    /// Version that the store has instead, or [`Version::NONE`].
    pub stored: Version,
}

/// Returns the objects of a replica that a listing of the era `era` lacks or has in a lower version.
///
/// The store loses no change within an era. A listing that lacks a version of its own era was made
/// before that version was written.
pub fn lost_objects<'a>(
    replica: impl IntoIterator<Item = &'a Arc<Object>>,
    era: StoreEra,
    stored: impl Fn(&Object) -> Version,
) -> Vec<LostObject> {
    let earlier = replica.into_iter().filter(|it| it.version.era() < era);
    let lost = earlier.map(|object| LostObject {
        object: Arc::clone(object),
        stored: stored(object),
    });
    lost.filter(|lost| lost.stored < lost.object.version)
        .collect()
}
