//! How long the calls of each route have taken lately.
//!
//! A VM that is told to leave accepts a call only if calls of its route end in the time that is left.
//! The longest of the last minute or so is kept, in two windows.

use core::time::Duration;
use poplarswitch_entity::Time;
use std::collections::HashMap;

/// Length of a window; a time counts in its window and the next one.
const WINDOW: Duration = Duration::from_mins(1);
/// Maximum number of routes that are kept; others are taken for routes without calls.
const MAX_ROUTES: usize = 10_000;

/// Longest times of a route's calls.
#[derive(Clone, Copy, Debug)]
struct Longest {
    /// Number of the window since the start of the clock.
    window: u64,
    current: Duration,
    previous: Duration,
}

impl Longest {
    /// The same as of a later window.
    fn at(self, window: u64) -> Self {
        let Self {
            window: last,
            current,
            ..
        } = self;
        match window.saturating_sub(last) {
            0 => self,
            1 => Self {
                window,
                current: Duration::ZERO,
                previous: current,
            },
            _ => Self {
                window,
                current: Duration::ZERO,
                previous: Duration::ZERO,
            },
        }
    }
}

/// Times from the arrival of calls to the ends of their answers.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Box<str>, Longest>,
}

impl RunTimes {
    /// Records a call that was answered.
    pub fn record(&mut self, now: Time, route: &str, time: Duration) {
        let window = window_of(now);
        if let Some(longest) = self.routes.get_mut(route) {
            *longest = longest.at(window);
            longest.current = longest.current.max(time);
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes
                .retain(|_, longest| window.saturating_sub(longest.window) < 2);
        }
        if self.routes.len() < MAX_ROUTES {
            let longest = Longest {
                window,
                current: time,
                previous: Duration::ZERO,
            };
            self.routes.insert(route.into(), longest);
        }
    }

    /// Longest time of a route's calls; none if none was answered lately.
    pub fn longest(&self, now: Time, route: &str) -> Option<Duration> {
        let longest = self.routes.get(route)?.at(window_of(now));
        let time = longest.current.max(longest.previous);
        (!time.is_zero()).then_some(time)
    }
}

fn window_of(now: Time) -> u64 {
    now.since(Time::ZERO).as_secs() / WINDOW.as_secs()
}
