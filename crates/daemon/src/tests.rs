//! Unit tests of the daemon's parts.

mod broadcaster;
mod calls;
mod fleet;
mod refusals;
mod relay;
mod start;
mod stop;

use crate::watch::Watch;

#[test]
fn watch_reports_newer_values_only() {
    http_edge::block_on(async {
        let watch = Watch::new(1);
        let seen = watch.revision();
        watch.set_if_changed(1);
        assert_eq!(watch.revision(), seen);
        watch.set_if_changed(2);
        assert_eq!(watch.changed_since(seen).await, seen + 1);
        assert_eq!(*watch.get(), 2);
    });
}
