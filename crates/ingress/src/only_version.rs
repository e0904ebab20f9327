//! Whether a stream of which no VM has a record is of the only version of its service.
//!
//! The stream began before its caller asked for it to go on. A view of the endpoints decides only if
//! the platform has shown it to be the newest since then: an older one may lack the version that
//! began the stream, also if this VM is cut off and doesn't know it yet.

use crate::{
    endpoints::EndpointTable,
    entry::{EndpointEntry, SoftwareVersion},
    streams::{HISTORY_TIME, StreamOrigins},
    version_history::ToldVersions,
};
use poplarswitch_entity::{ServiceName, Time};

/// What a VM knows when it decides on a stream without a record.
#[derive(Clone, Copy, Debug)]
pub struct VersionView<'a> {
    /// Current time.
    pub now: Time,
    /// When the VM was asked to let the stream go on.
    pub asked: Time,
    /// When the platform was sent the latest request whose reply showed the endpoints.
    pub confirmed: Option<Time>,
    /// Start of this process.
    pub started: Time,
    /// Time of day in Unix milliseconds.
    pub unix_ms: u64,
    /// The endpoints.
    pub endpoints: &'a EndpointTable,
    /// Versions that the service has had, as other VMs tell.
    pub told: &'a [ToldVersions],
}

/// Why the version of a stream without a record is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoVersion {
    /// The route has several services.
    SeveralServices,
    /// The service has or had another version, or one that is unknown.
    SeveralVersions,
    /// Nothing shows which versions the service had before this process started, or between two views.
    ShortHistory,
    /// The view of the endpoints may be older than the stream.
    Unconfirmed,
}

impl NoVersion {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SeveralServices => "several_services",
            Self::SeveralVersions => "several_versions",
            Self::ShortHistory => "short_history",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

impl StreamOrigins {
    /// The only version that a service has had for longer than a stream lasts.
    ///
    /// A process hasn't seen what was before its start. Then the histories of other VMs or what VMs
    /// kept in the platform must show it, or the time of day: all endpoints must be older than that.
    /// What was in a later gap of its views is shown by other VMs only.
    ///
    /// # Errors
    ///
    /// Fails if there is no such version, or if it is not known. [`NoVersion::Unconfirmed`] is the
    /// result only if everything else is met, so that a confirmation of the view decides.
    pub fn only_version(
        &self,
        service: &ServiceName,
        view: &VersionView<'_>,
    ) -> Result<SoftwareVersion, NoVersion> {
        let only = self.versions.single(service);
        let only = only
            .filter(|only| only.is_known())
            .ok_or(NoVersion::SeveralVersions)?;
        let of_service = || {
            let entries = view.endpoints.iter().map(|(_, endpoint)| &endpoint.entry);
            entries.filter(|entry| entry.service == *service)
        };
        let is_other = |version: Option<&SoftwareVersion>| version != Some(only);
        let mut told = view.told.iter().flat_map(|told| &told.versions);
        if told.any(|told| is_other(Some(told)))
            || of_service().any(|entry| is_other(entry.software.as_ref()))
        {
            return Err(NoVersion::SeveralVersions);
        }
        let is_old = |entry: &EndpointEntry| {
            let age_ms = view.unix_ms.saturating_sub(entry.start_ms);
            age_ms >= HISTORY_TIME.as_millis() as u64
        };
        let versions = &self.versions;
        let mut ends = view.told.iter().filter_map(|told| told.until.as_ref());
        let is_settled = versions.is_whole(view.now, view.started)
            || ends.any(|end| versions.follows(end))
            || versions.is_whole_since_start()
                && (versions.is_settled(service) || of_service().all(is_old));
        if !is_settled {
            return Err(NoVersion::ShortHistory);
        }
        if view.confirmed.is_none_or(|at| at < view.asked) {
            return Err(NoVersion::Unconfirmed);
        }
        Ok(only.clone())
    }
}
