//! Instances of the versions that may get a request.

use base::VersionName;
use mesh::directory::Entry;
use mesh::moves::MoveRecord;
use mesh::moves::VersionFilter;

/// Returns the entries whose instance has a version that the filter lets pass.
pub fn filter_versions<'a>(serving: &[&'a Entry], versions: VersionFilter<'_>) -> Vec<&'a Entry> {
    match versions {
        VersionFilter::Only(target) => with_version(serving, |version| version == target),
        VersionFilter::Target(record) => {
            let preferred = with_version(serving, |version| *version == record.order.target);
            if preferred.is_empty() {
                of_origin(serving, record)
            } else {
                preferred
            }
        }
        VersionFilter::Origin(record) => of_origin(serving, record),
        VersionFilter::Oldest => match oldest_version(serving, |_| true) {
            Some(oldest) => with_version(serving, |version| version == oldest),
            None => Vec::new(),
        },
    }
}

/// Returns the entries of the version that a move is from. If it is unknown or has no instance left, that of the
/// instance that started first takes its place, the target and withdrawn versions left out.
fn of_origin<'a>(serving: &[&'a Entry], record: &MoveRecord) -> Vec<&'a Entry> {
    if let Some(origin) = &record.origin.version {
        let in_use = with_version(serving, |version| version == origin);
        if !in_use.is_empty() {
            return in_use;
        }
    }
    match replacing_version(serving, record) {
        Some(replacing) => with_version(serving, |version| version == replacing),
        None => Vec::new(),
    }
}

/// Returns the version of the instance that started first, the target of a move and withdrawn versions left out.
pub fn replacing_version<'a>(
    serving: &[&'a Entry],
    record: &MoveRecord,
) -> Option<&'a VersionName> {
    oldest_version(serving, |version| {
        record.origin.may_replace(version, &record.order.target)
    })
}

fn oldest_version<'a>(
    serving: &[&'a Entry],
    keep: impl Fn(&VersionName) -> bool,
) -> Option<&'a VersionName> {
    serving
        .iter()
        .filter_map(|entry| entry.member.instance.as_ref())
        .filter(|info| keep(&info.version))
        .min_by_key(|info| info.born)
        .map(|info| &info.version)
}

fn with_version<'a>(serving: &[&'a Entry], keep: impl Fn(&VersionName) -> bool) -> Vec<&'a Entry> {
    let is_kept = |entry: &Entry| {
        let instance = entry.member.instance.as_ref();
        instance.is_some_and(|info| keep(&info.version))
    };
    serving
        .iter()
        .copied()
        .filter(|entry| is_kept(entry))
        .collect()
}
