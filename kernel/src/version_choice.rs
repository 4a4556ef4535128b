//! The choice between several versions of the workers of a service.

use std::collections::BTreeMap;

use crate::name::WorkerVersion;

/// The slots of the workers of a service by their versions; `None` stands for workers that state none.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::version_choice::VersionSlots;
///
/// let mut slots = VersionSlots::default();
/// slots.add(Some("v1".parse()?), 3);
/// slots.add(Some("v2".parse()?), 1);
/// let target = "v2".parse()?;
/// assert_eq!(slots.choose_except(&target, 7), Some(Some("v1".parse()?)));
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionSlots(BTreeMap<Option<WorkerVersion>, u64>);

impl VersionSlots {
    /// Adds a worker.
    pub fn add(&mut self, version: Option<WorkerVersion>, slots: u32) {
        *self.0.entry(version).or_default() += u64::from(slots);
    }

    /// Returns whether a worker has the version.
    #[must_use]
    pub fn has(&self, version: &WorkerVersion) -> bool {
        let mut versions = self.0.keys().flatten();
        versions.any(|other| other == version)
    }

    /// Returns whether a worker has another version than `excluded`.
    #[must_use]
    pub fn has_other(&self, excluded: &WorkerVersion) -> bool {
        self.0
            .keys()
            .any(|version| version.as_ref() != Some(excluded))
    }

    /// Returns a version other than `excluded`, chosen by the draw with the slots as weights; `None` if
    /// there is none.
    #[must_use]
    pub fn choose_except(
        &self,
        excluded: &WorkerVersion,
        draw: u64,
    ) -> Option<Option<WorkerVersion>> {
        let others = || {
            let others = self.0.iter();
            others.filter(|(version, _)| version.as_ref() != Some(excluded))
        };
        // Workers that state no slots can be chosen if no other does.
        let total: u64 = others().map(|(_, slots)| *slots).sum();
        let mut left = draw.checked_rem(total).unwrap_or_default();
        let chosen = others().find(|(_, slots)| match left.checked_sub(**slots) {
            Some(rest) if total > 0 => {
                left = rest;
                false
            }
            _ => true,
        });
        chosen.map(|(version, _)| version.clone())
    }
}
