//! What distinguishes an incarnation of an endpoint beside its start: service, data centre, version.
//!
//! Other programs write entries too, and an entry doesn't say who has written it. An endpoint writes
//! its own with each heartbeat, so an entry of another writer stands for one interval. An entry that
//! contradicts the known identity of an incarnation therefore changes nothing, unless the next one
//! repeats it: then it is the endpoint's own, and the known identity was that of the other writer. The
//! same holds for an entry that is ready after one that drains, as an endpoint that drains doesn't
//! become ready again.

use crate::{
    entry::{EndpointEntry, EndpointState, SoftwareVersion},
    revision::Revision,
};
use poplarswitch_entity::{DataCentre, ServiceName};

/// Identity that an entry states in contradiction to the known one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DisputedIdentity {
    service: ServiceName,
    data_centre: DataCentre,
    software: Option<SoftwareVersion>,
    revision: Revision,
}

/// Result of the comparison of an entry with the known one of its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdentityCheck {
    /// The entry states the known identity.
    Same,
    /// The entry contradicts it and may be of another writer.
    Disputed,
    /// A later entry has repeated the contradiction.
    Changed,
}

/// Compares an entry with the known one of its incarnation; `disputed` is what earlier entries of
/// the incarnation have stated in contradiction.
pub(crate) fn check_identity(
    known: &EndpointEntry,
    entry: &EndpointEntry,
    disputed: &mut Option<DisputedIdentity>,
) -> IdentityCheck {
    // Some VMs don't send the version.
    let same_software =
        entry.software.is_none() || known.software.is_none() || entry.software == known.software;
    if same_software && entry.service == known.service && entry.data_centre == known.data_centre {
        if disputed
            .as_ref()
            .is_some_and(|d| d.revision < entry.revision)
        {
            *disputed = None;
        }
        return IdentityCheck::Same;
    }
    let is_repeated = |earlier: &DisputedIdentity| {
        earlier.revision < entry.revision
            && earlier.service == entry.service
            && earlier.data_centre == entry.data_centre
            && earlier.software == entry.software
    };
    if disputed.as_ref().is_some_and(is_repeated) {
        return IdentityCheck::Changed;
    }
    *disputed = Some(DisputedIdentity {
        service: entry.service.clone(),
        data_centre: entry.data_centre.clone(),
        software: entry.software.clone(),
        revision: entry.revision,
    });
    IdentityCheck::Disputed
}

/// Whether an incarnation that drained is ready by two entries in a row; `ready_again` is the revision
/// of the first one.
pub(crate) fn has_returned(
    known: &EndpointEntry,
    entry: &EndpointEntry,
    ready_again: &mut Option<Revision>,
) -> bool {
    // A copy from which the platform has come back may be older than the drain.
    let same_era = known.revision.era == entry.revision.era;
    let is_drained = known.state == EndpointState::Draining;
    if !same_era || !is_drained || entry.state != EndpointState::Ready {
        *ready_again = None;
        return false;
    }
    let first = *ready_again.get_or_insert(entry.revision);
    let is_repeated = first < entry.revision;
    if is_repeated {
        *ready_again = None;
    }
    is_repeated
}
