//! Whether the endpoints of services differ, or only their calls do.
//!
//! An analysis of variance: if endpoints are alike, the means of their calls differ by what the
//! noise of the calls explains. Each call of this VM, and each record of another VM, is one
//! observation.

use crate::evidence::Evidence;

/// Standard deviation of the logarithm of a call's pause at one endpoint that is assumed until calls
/// have shown it.
const PRIOR_NOISE: f64 = 0.2;
/// Number of observations that the assumed noise counts for.
const PRIOR_OBSERVATIONS: f64 = 10.0;
/// Number of repeated observations of endpoints from which the noise of calls is known.
const MIN_REPEATED: f64 = 30.0;
/// Standard deviations of the logarithm of the variance ratio by which it must exceed that of equal
/// endpoints.
const SIGNIFICANCE: f64 = 2.5;
/// Standard deviation of the logarithm of the endpoints' speed from which they count as different.
const MIN_SPREAD: f64 = 0.15;
/// The same while they count as different.
const MIN_SPREAD_LEFT: f64 = 0.1;
/// Bounds of the number of calls as of which the mean of an endpoint counts more than that of all.
const SHRINKAGE_BOUNDS: (f64, f64) = (0.1, 10.0);

/// How the endpoints differ.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Spread {
    /// Unknown, because calls have not shown their noise yet.
    #[default]
    Unknown,
    /// By no more than the noise of their calls, or too little to matter.
    Alike,
    /// By their speed.
    Different {
        /// Ratio of the variance of an endpoint's calls to that of the endpoints.
        shrinkage: f64,
    },
}

impl Spread {
    /// The spread that the evidence on endpoints shows, relative to the mean of their services.
    pub(crate) fn update(self, endpoints: impl Iterator<Item = Evidence>) -> Self {
        let (mut count, mut weight, mut between) = (0.0, 0.0, 0.0);
        let mut within = PRIOR_OBSERVATIONS * PRIOR_NOISE * PRIOR_NOISE;
        let mut repeated = PRIOR_OBSERVATIONS;
        for endpoint in endpoints {
            let explained = endpoint.sum * endpoint.mean();
            count += 1.0;
            weight += endpoint.weight;
            between += explained;
            within += (endpoint.squares - explained).max(0.0);
            repeated += (endpoint.count - 1.0).max(0.0);
        }
        if count < 1.0 || weight <= 0.0 {
            return Self::Unknown;
        }
        let noise = within / repeated;
        let ratio = between / count / noise;
        let deviation = (2.0 / count + 2.0 / repeated).sqrt();
        let variance = (between / count - noise) * count / weight;
        let min_spread = match self {
            Self::Unknown | Self::Alike => MIN_SPREAD,
            Self::Different { .. } => MIN_SPREAD_LEFT,
        };
        if ratio.ln() < SIGNIFICANCE * deviation || variance < min_spread * min_spread {
            return if repeated < PRIOR_OBSERVATIONS + MIN_REPEATED {
                Self::Unknown
            } else {
                Self::Alike
            };
        }
        let (min, max) = SHRINKAGE_BOUNDS;
        Self::Different {
            shrinkage: (noise / variance).clamp(min, max),
        }
    }
}
