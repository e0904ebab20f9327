//! Exchange of evidence and held sections with other VMs, and of held sections with the platform.

use super::{
    AnswerRecord, CrashRecord, HeldSection, HoldChange, HoldRecord, Quarantine, QuarantineDigest,
    evidence::{ANSWER_NEWS_STEP, Crash},
    holds::Hold,
};
use core::{cmp::Reverse, time::Duration};
use poplarswitch_entity::Time;

/// Time for which news is repeated to other VMs, which may lose datagrams.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Maximum number of records of each kind in one digest, which fits into one datagram.
const MAX_RECORDS: usize = 20;

impl Quarantine {
    /// What to tell other VMs.
    pub fn digest(&mut self, now: Time) -> QuarantineDigest {
        let age = |at: Time| now.since(at).as_millis().min(u128::from(u32::MAX)) as u32;
        let is_news = |learned: Time| now.since(learned) < NEWS_TIME;
        let mut crashes: Vec<(u32, Time, CrashRecord)> = Vec::new();
        for (section, suspect) in &self.suspects {
            let weight = suspect.weight();
            let news = suspect
                .crashes
                .iter()
                .filter(|crash| is_news(crash.learned));
            crashes.extend(news.map(|crash| {
                let Crash {
                    endpoint,
                    at,
                    begun,
                    learned,
                    ..
                } = *crash;
                let record = CrashRecord(*section, endpoint, age(at), begun, suspect.depth);
                (weight, learned, record)
            }));
        }
        // The sections with the most evidence first, so that a limit leaves out bystanders.
        crashes.sort_unstable_by_key(|(weight, learned, record)| {
            (Reverse(*weight), Reverse(*learned), record.0)
        });
        crashes.truncate(MAX_RECORDS);
        let mut answers: Vec<(Time, AnswerRecord)> = self
            .answered
            .iter()
            .filter_map(|(section, answered)| {
                let news = answered.news.filter(|news| is_news(*news))?;
                Some((news, AnswerRecord(*section, age(answered.began))))
            })
            .collect();
        answers.sort_unstable_by_key(|(news, record)| (Reverse(*news), record.0));
        answers.truncate(MAX_RECORDS);
        let mut holds: Vec<HoldRecord> = self
            .held
            .iter()
            .map(|(section, hold)| {
                HoldRecord(*section, age(hold.since), age(hold.asked), hold.trials)
            })
            .collect();
        holds.sort_unstable_by_key(|record| record.0);
        if !holds.is_empty() {
            let start = self.digests * MAX_RECORDS % holds.len();
            holds.rotate_left(start);
            holds.truncate(MAX_RECORDS);
        }
        self.digests = self.digests.wrapping_add(1);
        QuarantineDigest {
            crashes: crashes.into_iter().map(|(_, _, record)| record).collect(),
            answers: answers.into_iter().map(|(_, record)| record).collect(),
            holds,
        }
    }

    /// Merges what another VM told; returns whether anything was new, and the changes of held
    /// sections.
    pub fn merge(&mut self, now: Time, digest: &QuarantineDigest) -> (bool, Vec<HoldChange>) {
        let at = |age: u32| Time(now.0.saturating_sub(u64::from(age) * 1_000));
        let mut is_new = false;
        let mut changes = Vec::new();
        for AnswerRecord(section, age) in &digest.answers {
            let began = at(*age);
            let known = self.answered.get(section);
            // The transit adds to the age, so a record that comes back must not count as a later
            // answer.
            if known.is_none_or(|known| began > known.began + ANSWER_NEWS_STEP) {
                is_new = true;
                changes.extend(self.add_answer(now, *section, began));
            }
        }
        for CrashRecord(section, endpoint, age, begun, depth) in &digest.crashes {
            let crash = Crash {
                endpoint: *endpoint,
                at: at(*age),
                begun: *begun,
                explained: false,
                learned: now,
            };
            is_new |= self.add_crash(*section, *depth, crash);
        }
        for HoldRecord(section, age, idle, trials) in &digest.holds {
            let hold = Hold {
                since: at(*age),
                asked: at(*idle),
                trials: *trials,
            };
            let change = self.add_hold(now, *section, hold);
            is_new |= change.is_some();
            changes.extend(change);
        }
        changes.extend(self.hold_convicted(now));
        (is_new, changes)
    }

    /// Held sections for the platform, in the order of their identifiers; `unix_ms` is the current
    /// Unix time in milliseconds.
    pub fn held_sections(&self, now: Time, unix_ms: u64) -> Vec<HeldSection> {
        let at = |time: Time| unix_ms.saturating_sub(now.since(time).as_millis() as u64);
        let sections = self.held.iter().map(|(section, hold)| HeldSection {
            section: *section,
            since_ms: at(hold.since),
            asked_ms: at(hold.asked),
            trials: hold.trials,
        });
        let mut sections: Vec<HeldSection> = sections.collect();
        sections.sort_unstable_by_key(|held| held.section);
        sections
    }

    /// Takes in held sections that were read from the platform.
    pub fn restore(
        &mut self,
        now: Time,
        unix_ms: u64,
        sections: &[HeldSection],
    ) -> Vec<HoldChange> {
        let at = |millis: u64| now - Duration::from_millis(unix_ms.saturating_sub(millis));
        let holds = sections.iter().filter_map(|held| {
            let hold = Hold {
                since: at(held.since_ms),
                asked: at(held.asked_ms),
                trials: held.trials,
            };
            self.add_hold(now, held.section, hold)
        });
        holds.collect()
    }
}
