//! Configurations that come into force, from the store or from another daemon.

use std::time::Instant;

use bytes::Bytes;
use mesh::Config;
use mesh::ConfigVersion;
use mesh::config::Place;
use mesh::config::UnknownKind;
use mesh::knowledge::ConfigFate;
use mesh::table::Adoption;
use serde_json::json;
use users_platform::operator;

use crate::node::Node;

/// Most values that a log line names of those that could not be read.
const MAX_LOGGED_VALUES: usize = 20;

impl Node {
    /// Adopts a serialized configuration if it is newer. `source` names its origin in the log;
    /// `compress` returns the compressed form for peers.
    pub fn adopt_config(
        &self,
        bytes: &Bytes,
        source: &str,
        compress: impl FnOnce() -> Bytes,
    ) -> ConfigFate {
        let mut cfg = match operator::decode_config(bytes) {
            Ok(cfg) => cfg,
            Err(e) => {
                self.metrics.record_config_rejected();
                self.log_state(
                    "config-unreadable",
                    || json!({ "source": source, "reason": e }),
                );
                return ConfigFate::Rejected;
            }
        };
        self.keep_customers(&mut cfg);
        let before = self.active_table.borrow().version();
        if self.active_table.borrow_mut().adopt(&cfg) == Adoption::Adopted {
            *self.compressed_config.borrow_mut() = compress();
            self.apply_config(&cfg, before, source);
        }
        ConfigFate::InForce
    }

    /// Lets a configuration without customers refuse all keys if the one in force has some. Without customers it would
    /// let every request run without a key.
    fn keep_customers(&self, cfg: &mut Config) {
        let table = self.active_table.borrow();
        let had_customers = table.current().is_some_and(|t| t.customers().is_some());
        if had_customers && cfg.customers.is_none() {
            cfg.customers = Some(Vec::new());
            cfg.unreadable.hides_keys = true;
            let reason = "missing, though the configuration in force has customers";
            cfg.unreadable.push(Place::Table("customers"), reason);
        }
    }

    /// Applies a configuration that has just come into force to all parts beside the table.
    fn apply_config(&self, cfg: &Config, before: ConfigVersion, source: &str) {
        let pending = self
            .config_sources
            .borrow_mut()
            .record_adoption(cfg.version, Instant::now());
        self.apply_cold_rate();
        if cfg.customers.is_some() {
            self.balancer.borrow_mut().expect_uneven_load();
        }
        self.dispatcher
            .admission
            .borrow_mut()
            .set_keeps_slots(cfg.customers.is_some());
        self.knowledge.borrow_mut().record_adoption(cfg.version);
        self.caps
            .set_config(cfg.version, cfg.customers.as_deref(), self.boot_time());
        self.log_state("config-adopted", || {
            json!({
                "version": cfg.version,
                "before": before,
                "routes": cfg.routes.len(),
                "source": source,
                "pending_ms": pending.map(|pending| pending.as_millis()),
            })
        });
        let table = self.active_table.borrow().current().cloned();
        if let Some(table) = table {
            self.log_customers(&table);
        }
        self.report_doubtful(cfg);
    }

    /// Logs and counts what of a configuration could not be read, or has no meaning to this release.
    fn report_doubtful(&self, cfg: &Config) {
        let values = &cfg.unreadable.values;
        for value in values {
            self.metrics.record_unreadable_value(value.place.kind());
        }
        if !values.is_empty() {
            let named = values.iter().take(MAX_LOGGED_VALUES);
            let named: Vec<String> = named.map(ToString::to_string).collect();
            self.log_state("config-values-unreadable", || {
                json!({
                    "version": cfg.version,
                    "count": values.len(),
                    "values": named,
                    "hides_routes": cfg.unreadable.hides_routes,
                    "hides_keys": cfg.unreadable.hides_keys,
                })
            });
        }
        for UnknownKind { kind, route } in &cfg.unknown_kinds {
            self.metrics.record_unknown_kind();
            self.log_state(
                "route-kind-unknown",
                || json!({ "version": cfg.version, "kind": kind, "route": route }),
            );
        }
    }
}
