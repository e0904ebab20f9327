//! Exchange of evidence and holds with other VMs, and of holds with the platform.

use super::{
    AnswerRecord, CrashRecord, HeldSubject, HoldChange, HoldRecord, Quarantine, QuarantineDigest,
    RequestId, Subject, SubjectRecords,
    evidence::{ANSWER_NEWS_STEP, CLEARING_NEWS_STEP, Crash},
    holds::Hold,
};
use core::{cmp::Reverse, time::Duration};
use poplarswitch_entity::Time;

/// Time for which news is repeated to other VMs, which may lose datagrams.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Maximum number of records of each sort in one digest, which fits into one datagram.
const MAX_RECORDS: usize = 20;
/// Time that a hold must last before the platform is told of it; most end with their first trial.
const PLATFORM_DELAY: Duration = Duration::from_millis(300);

impl Quarantine {
    /// News for other VMs.
    pub fn digest(&mut self, now: Time) -> QuarantineDigest {
        let mut sections = SubjectRecords::default();
        let mut requests = SubjectRecords::default();
        for (subject, record) in self.crash_records(now) {
            of_kind(subject, &mut sections, &mut requests)
                .crashes
                .push(record);
        }
        for (subject, record) in self.answer_records(now) {
            of_kind(subject, &mut sections, &mut requests)
                .answers
                .push(record);
        }
        for (subject, record) in self.hold_records(now) {
            of_kind(subject, &mut sections, &mut requests)
                .holds
                .push(record);
        }
        let SubjectRecords {
            crashes,
            answers,
            holds,
        } = sections;
        QuarantineDigest {
            crashes,
            answers,
            holds,
            requests,
            sent: self.digest_time(now),
        }
    }

    /// Recent crashes; those of the subjects with the most evidence first, so that the limit leaves out
    /// bystanders.
    fn crash_records(&self, now: Time) -> Vec<(Subject, CrashRecord)> {
        let mut crashes = Vec::new();
        for (subject, suspect) in &self.suspects {
            let is_new = |crash: &&Crash| is_news(now, crash.learned);
            if !suspect.crashes.iter().any(|crash| is_new(&crash)) {
                continue;
            }
            let strength = self.strength(*subject, suspect);
            let news = suspect.crashes.iter().filter(is_new);
            crashes.extend(news.map(|crash| {
                let Crash {
                    endpoint,
                    at,
                    begun,
                    learned,
                    ..
                } = *crash;
                let age = age(now, at);
                let record = CrashRecord(subject.id(), endpoint, age, begun, suspect.depth);
                (strength, learned, *subject, record)
            }));
        }
        crashes.sort_unstable_by_key(|(strength, learned, subject, record)| {
            let CrashRecord(_, endpoint, ..) = record;
            (Reverse(*strength), Reverse(*learned), *subject, *endpoint)
        });
        crashes.truncate(MAX_RECORDS);
        let records = crashes.into_iter();
        records
            .map(|(.., subject, record)| (subject, record))
            .collect()
    }

    /// Recent answers, the newest first.
    fn answer_records(&self, now: Time) -> Vec<(Subject, AnswerRecord)> {
        let news = self.answered.iter().filter_map(|(subject, answered)| {
            let news = answered.news.filter(|news| is_news(now, *news))?;
            let record = AnswerRecord(subject.id(), age(now, answered.began));
            Some((news, *subject, record))
        });
        let mut answers: Vec<(Time, Subject, AnswerRecord)> = news.collect();
        answers.sort_unstable_by_key(|(news, subject, _)| (Reverse(*news), *subject));
        answers.truncate(MAX_RECORDS);
        let records = answers.into_iter();
        records
            .map(|(_, subject, record)| (subject, record))
            .collect()
    }

    /// Holds, others in each digest.
    fn hold_records(&mut self, now: Time) -> Vec<(Subject, HoldRecord)> {
        let holds = self.held.iter().map(|(subject, hold)| {
            let (since, asked) = (age(now, hold.since), age(now, hold.asked));
            let record = HoldRecord(subject.id(), since, asked, hold.told_trials(now));
            (*subject, record)
        });
        let mut holds: Vec<(Subject, HoldRecord)> = holds.collect();
        holds.sort_unstable_by_key(|(subject, _)| *subject);
        if !holds.is_empty() {
            let start = self.digests * MAX_RECORDS % holds.len();
            holds.rotate_left(start);
            holds.truncate(MAX_RECORDS);
        }
        self.digests = self.digests.wrapping_add(1);
        holds
    }

    /// Merges what another VM told; returns whether anything was new, and the changes of holds.
    pub fn merge(&mut self, now: Time, digest: &QuarantineDigest) -> (bool, Vec<HoldChange>) {
        let QuarantineDigest {
            crashes,
            answers,
            holds,
            requests,
            sent,
        } = digest;
        let arrived = self.arrival(now, *sent);
        let request = |id: u64| Subject::Request(RequestId(id));
        let mut changes = Vec::new();
        let mut is_new = self.merge_answers(now, arrived, Subject::Section, answers, &mut changes);
        is_new |= self.merge_answers(now, arrived, request, &requests.answers, &mut changes);
        is_new |= self.merge_crashes(now, arrived, Subject::Section, crashes);
        is_new |= self.merge_crashes(now, arrived, request, &requests.crashes);
        is_new |= self.merge_holds(now, arrived, Subject::Section, holds, &mut changes);
        is_new |= self.merge_holds(now, arrived, request, &requests.holds, &mut changes);
        changes.extend(self.release_cleared(now));
        changes.extend(self.hold_convicted(now));
        (is_new, changes)
    }

    fn merge_answers(
        &mut self,
        now: Time,
        arrived: Time,
        subject: impl Fn(u64) -> Subject,
        answers: &[AnswerRecord],
        changes: &mut Vec<HoldChange>,
    ) -> bool {
        let mut is_new = false;
        for AnswerRecord(id, age) in answers {
            let subject = subject(*id);
            let began = time_of(arrived, *age);
            let known = self.answered.get(&subject);
            // The transit adds to the age, so a record that comes back must not count as a later
            // answer.
            let suspect = self.suspects.get(&subject);
            let clears = suspect.is_some_and(|suspect| suspect.has_crash_before(began));
            let step = if clears {
                CLEARING_NEWS_STEP
            } else {
                ANSWER_NEWS_STEP
            };
            if known.is_none_or(|known| began > known.began + step) {
                is_new = true;
                changes.extend(self.add_answer(now, subject, began));
            }
        }
        is_new
    }

    fn merge_crashes(
        &mut self,
        now: Time,
        arrived: Time,
        subject: impl Fn(u64) -> Subject,
        crashes: &[CrashRecord],
    ) -> bool {
        let mut is_new = false;
        for CrashRecord(id, endpoint, age, begun, depth) in crashes {
            let crash = Crash {
                endpoint: *endpoint,
                at: time_of(arrived, *age),
                begun: *begun,
                explained: false,
                learned: now,
            };
            is_new |= self.add_crash(subject(*id), *depth, crash);
        }
        is_new
    }

    fn merge_holds(
        &mut self,
        now: Time,
        arrived: Time,
        subject: impl Fn(u64) -> Subject,
        holds: &[HoldRecord],
        changes: &mut Vec<HoldChange>,
    ) -> bool {
        let mut is_new = false;
        for HoldRecord(id, age, idle, trials) in holds {
            let mut hold = Hold::new(now, time_of(arrived, *age), *trials);
            hold.asked = time_of(arrived, *idle);
            let change = self.add_hold(now, subject(*id), hold);
            is_new |= change.is_some();
            changes.extend(change);
        }
        is_new
    }

    /// Holds for the platform, in the order of their subjects; `unix_ms` is the current Unix time in
    /// milliseconds.
    pub fn held_subjects(&self, now: Time, unix_ms: u64) -> Vec<HeldSubject> {
        let at = |time: Time| unix_ms.saturating_sub(now.since(time).as_millis() as u64);
        let lasting = self.held.iter();
        let lasting = lasting.filter(|(_, hold)| now.since(hold.learned) >= PLATFORM_DELAY);
        let subjects = lasting.map(|(subject, hold)| HeldSubject {
            subject: *subject,
            since_ms: at(hold.since),
            asked_ms: at(hold.asked),
            trials: hold.trials,
        });
        let mut subjects: Vec<HeldSubject> = subjects.collect();
        subjects.sort_unstable_by_key(|held| held.subject);
        subjects
    }

    /// Takes in holds that were read from the platform.
    pub fn restore(
        &mut self,
        now: Time,
        unix_ms: u64,
        subjects: &[HeldSubject],
    ) -> Vec<HoldChange> {
        let at = |millis: u64| now - Duration::from_millis(unix_ms.saturating_sub(millis));
        let holds = subjects.iter().filter_map(|held| {
            let mut hold = Hold::new(now, at(held.since_ms), held.trials);
            hold.asked = at(held.asked_ms);
            hold.restored = true;
            self.add_hold(now, held.subject, hold)
        });
        holds.collect()
    }
}

const fn of_kind<'a>(
    subject: Subject,
    sections: &'a mut SubjectRecords,
    requests: &'a mut SubjectRecords,
) -> &'a mut SubjectRecords {
    match subject {
        Subject::Section(_) => sections,
        Subject::Request(_) => requests,
    }
}

fn age(now: Time, at: Time) -> u32 {
    now.since(at).as_millis().min(u128::from(u32::MAX)) as u32
}

fn is_news(now: Time, learned: Time) -> bool {
    now.since(learned) < NEWS_TIME
}

const fn time_of(now: Time, age: u32) -> Time {
    Time(now.0.saturating_sub(age as u64 * 1_000))
}
