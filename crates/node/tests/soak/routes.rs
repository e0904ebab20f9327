//! Configurations that change the targets of routes and the idle time-out.

use core::time::Duration;
use poplarswitch_deployment::Configuration;

/// Services, each with the one that may take its place, and its routes.
const SPARES: [(&str, &str, [&str; 2]); 2] = [
    ("booking", "spare-booking", ["book", "seats"]),
    ("engines", "spare-engines", ["chat", "brief"]),
];

/// Services to which the routes lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Targets {
    /// Their own.
    Own,
    /// Their own and the spare ones; the weight of their own is in tenths.
    Split(u8),
    /// The spare ones.
    Spare,
}

/// Parts of a configuration that the soak changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShape {
    pub targets: Targets,
    /// Time after which idle connections of callers are closed, in milliseconds.
    pub idle_ms: u16,
}

impl Default for RouteShape {
    fn default() -> Self {
        Self {
            targets: Targets::Own,
            idle_ms: 15_000,
        }
    }
}

impl RouteShape {
    /// A version of the configuration.
    pub fn configuration(self, version: u64, keys: &[&str]) -> Configuration {
        let mut configuration = Configuration::sample(version, keys);
        configuration.set_idle_timeout(Duration::from_millis(u64::from(self.idle_ms)));
        if self.targets == Targets::Own {
            return configuration;
        }
        for (own, spare, routes) in SPARES {
            configuration.add_service(spare, own);
            for route in routes {
                match self.targets {
                    Targets::Own => {}
                    Targets::Spare => configuration.set_targets(route, &[(spare, 1.0)]),
                    Targets::Split(tenths) => {
                        let weight = f64::from(tenths) / 10.0;
                        let targets = [(own, weight), (spare, 1.0 - weight)];
                        configuration.set_targets(route, &targets);
                    }
                }
            }
        }
        configuration
    }
}
