//! What endpoints say of themselves in the heads of their responses.
//!
//! An endpoint that turns a request away may ask for a pause: it wants no requests from this VM until
//! the pause has ended, whatever they are for. The pause binds this VM alone and the incarnation that
//! asked for it. Other reasons to spare an endpoint, such as an ejection, a limit or a full queue, hold
//! beside it; an endpoint gets requests again when none of them holds.
//!
//! An endpoint that leaves says so too, perhaps long before its entry does. From then on this VM takes it
//! for draining, which is final for the incarnation, whatever its entry says.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Maximum length of a pause; an endpoint that asks for a longer one is taken for faulty, and should not
/// need a restart to get calls again.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Pause that a response asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedPause {
    /// No pause is asked for.
    #[default]
    None,
    /// The endpoint wants no requests from this VM for this time.
    For(Duration),
    /// The time can't be read, so nothing changes.
    Unreadable,
}

/// Notice of a response about its endpoint, whatever the request was.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointNotice {
    /// Pause that the endpoint asks for.
    pub pause: NamedPause,
    /// Whether the endpoint leaves.
    pub leaving: bool,
    /// Rejections in a second that the endpoint bears, from all VMs together; it crashes on more.
    pub max_rejections: Option<f64>,
}

/// Time in which an endpoint wants no requests from this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    until: Time,
}

impl Pause {
    /// Extends the pause to `length` from now, unless it ends later already; returns whether its end
    /// has moved.
    pub fn extend(&mut self, now: Time, length: Duration) -> bool {
        let until = now + length.min(MAX_PAUSE);
        let is_later = until > self.until;
        self.until = self.until.max(until);
        is_later
    }

    /// Whether the endpoint wants no requests.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// End of the pause.
    pub const fn until(&self) -> Time {
        self.until
    }
}
