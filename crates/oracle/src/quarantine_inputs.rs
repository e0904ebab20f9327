//! Inputs of any kind and in any order to the quarantine of one VM: nothing panics, and the sizes of what
//! is kept and told are bounded.

use crate::cluster_search::Simulation;
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    AnswerRecord, CrashRecord, CutCall, DigestTime, HeldSubject, HoldRecord, Quarantine,
    QuarantineDigest, RequestId, Subject, SubjectRecords, TrialAsk, TrialEnded, TrialHome, TrialId,
    TrialOutcome, TrialTarget, TrialVerdict,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;

/// Held subjects of each kind, subjects with crashes, and subjects with answers that a VM keeps at most.
const MAX_HELD: usize = 256;
const MAX_SUSPECTS: usize = 512;
const MAX_ANSWERED: usize = 4_096;
/// Most bytes in one datagram, which must not be fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Time after which each hold is shown to the platform.
const HOLD_SHOWN: Duration = Duration::from_secs(1);
/// Factor that spreads consecutive numbers over identifiers of full length.
const ID_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// A range of subjects.
#[derive(Clone, Copy, Debug)]
pub struct Subjects {
    /// First number.
    pub first: u64,
    /// Length.
    pub count: u64,
    /// Whether they are sections.
    pub sections: bool,
}

impl Subjects {
    fn iter(self) -> impl Iterator<Item = Subject> {
        let ids = (self.first..self.first + self.count).map(|id| id.wrapping_mul(ID_SPREAD));
        ids.map(move |id| {
            if self.sections {
                Subject::Section(id)
            } else {
                Subject::Request(RequestId(id))
            }
        })
    }
}

/// One input.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// Calls with the subjects are cut by the crash of an endpoint.
    Cut {
        /// Subjects, one in each call.
        subjects: Subjects,
        /// The endpoint.
        endpoint: u32,
        /// Time since then, in milliseconds.
        age_ms: u64,
        /// Whether answers had begun.
        begun: bool,
    },
    /// Answers on the subjects are complete.
    Answer {
        /// Subjects.
        subjects: Subjects,
        /// Time since the answers began, in milliseconds.
        age_ms: u64,
    },
    /// Records of another VM arrive.
    Merge {
        /// Subjects, each with one record.
        subjects: Subjects,
        /// Sort of the records.
        record: Record,
        /// Age that the records tell, in milliseconds.
        age: u32,
    },
    /// Holds are read from the platform.
    Restore {
        /// Subjects.
        subjects: Subjects,
        /// When they were held, in Unix milliseconds.
        since_ms: u64,
        /// Present Unix time in milliseconds.
        unix_ms: u64,
    },
    /// A call with the subjects asks for passage.
    Check {
        /// Subjects.
        subjects: Subjects,
        /// View of the home.
        home: TrialHome,
    },
    /// A message on a trial arrives.
    Trial {
        /// Subjects, each with one message.
        subjects: Subjects,
        /// Number of the trial.
        serial: u32,
        /// The message.
        message: TrialInput,
    },
    /// The periodic work is done.
    Expire,
}

/// Sort of a record of another VM.
#[derive(Clone, Copy, Debug)]
pub enum Record {
    /// A crash.
    Crash,
    /// An answer.
    Answer,
    /// A hold with this number of trials.
    Hold(u8),
}

/// A message on a trial.
#[derive(Clone, Copy, Debug)]
pub enum TrialInput {
    /// Another VM asks for one; the time since its hold in milliseconds, and the view of the home.
    Ask(u32, TrialHome),
    /// The home replies, or does not.
    Reply(Option<TrialVerdict>),
    /// A trial of this VM, or of another one, has ended.
    Ended(Option<u32>, TrialOutcome),
}

/// A deliberate fault that the checks have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputFault {
    /// Subjects are spread over two quarantines, each with its own bounds.
    SplitSubjects,
    /// Ages are taken to be no longer than the clock has run.
    TrustAges,
    /// The records of two digests go into one datagram.
    JoinDigests,
}

/// Generates the inputs.
#[derive(Debug)]
pub struct InputMachine;

fn subjects(max: u64) -> impl Strategy<Value = Subjects> + Clone {
    let count = prop_oneof![3 => 1..=3_u64, 1 => 1..=max];
    (0..2 * max, count, any::<bool>()).prop_map(|(first, count, sections)| Subjects {
        first,
        count,
        sections,
    })
}

fn home() -> impl Strategy<Value = TrialHome> + Clone {
    use TrialHome::{Alone, Local, Nobody, Other};
    select(vec![Local, Other, Nobody, Alone])
}

fn age() -> impl Strategy<Value = u32> + Clone {
    prop_oneof![4 => 0..5_000_u32, 1 => any::<u32>()]
}

fn trial_input() -> impl Strategy<Value = TrialInput> {
    use TrialOutcome::{Answered, Cut, Unsent};
    let verdict = prop_oneof![
        Just(TrialVerdict::Granted),
        Just(TrialVerdict::Running),
        age().prop_map(TrialVerdict::Later),
        age().prop_map(TrialVerdict::Answered),
    ];
    prop_oneof![
        (age(), home()).prop_map(|(since, home)| TrialInput::Ask(since, home)),
        prop::option::of(verdict).prop_map(TrialInput::Reply),
        (
            prop::option::of(0..3_u32),
            select(vec![Answered, Cut, Unsent])
        )
            .prop_map(|(from, outcome)| TrialInput::Ended(from, outcome)),
    ]
}

impl ReferenceStateMachine for InputMachine {
    type State = ();
    type Transition = Input;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Input> {
        let few = || subjects(600);
        let millis = || prop_oneof![4 => 0..4_000_u64, 1 => any::<u32>().prop_map(u64::from)];
        let record = prop_oneof![
            Just(Record::Crash),
            Just(Record::Answer),
            any::<u8>().prop_map(Record::Hold),
        ];
        prop_oneof![
            4 => millis().prop_map(Input::Advance),
            3 => (few(), 0..4_u32, millis(), any::<bool>()).prop_map(
                |(subjects, endpoint, age_ms, begun)| Input::Cut {
                    subjects,
                    endpoint,
                    age_ms,
                    begun,
                }
            ),
            2 => (subjects(5_000), millis())
                .prop_map(|(subjects, age_ms)| Input::Answer { subjects, age_ms }),
            4 => (few(), record, age())
                .prop_map(|(subjects, record, age)| Input::Merge { subjects, record, age }),
            1 => (few(), any::<u64>(), any::<u64>()).prop_map(
                |(subjects, since_ms, unix_ms)| Input::Restore {
                    subjects,
                    since_ms,
                    unix_ms,
                }
            ),
            3 => (few(), home())
                .prop_map(|(subjects, home)| Input::Check { subjects, home }),
            3 => (few(), 0..4_u32, trial_input()).prop_map(
                |(subjects, serial, message)| Input::Trial {
                    subjects,
                    serial,
                    message,
                }
            ),
            2 => Just(Input::Expire),
        ]
        .boxed()
    }

    fn apply((): (), _: &Input) {}
}

/// The quarantine that gets the inputs, and the time.
#[derive(Debug)]
pub struct InputSim {
    /// One, or two with [`InputFault::SplitSubjects`].
    quarantines: Vec<Quarantine>,
    now: Time,
    fault: Option<InputFault>,
}

impl InputSim {
    /// Starts with an empty quarantine, with a deliberate fault if one is given.
    pub fn new(fault: Option<InputFault>) -> Self {
        let count = if fault == Some(InputFault::SplitSubjects) {
            2
        } else {
            1
        };
        Self {
            quarantines: vec![Quarantine::default(); count],
            now: Time::ZERO,
            fault,
        }
    }

    fn quarantine(&mut self, subject: Subject) -> &mut Quarantine {
        let count = self.quarantines.len() as u64;
        &mut self.quarantines[(subject.id() % count) as usize]
    }

    fn cut(&mut self, subject: Subject, endpoint: u32, age_ms: u64, begun: bool) {
        let now = self.now;
        let (request, sections) = match subject {
            Subject::Request(request) => (Some(request), Vec::new()),
            Subject::Section(section) => (None, vec![section]),
        };
        let cut = CutCall {
            endpoint,
            at: now - Duration::from_millis(age_ms),
            begun,
            request,
            sections,
        };
        self.quarantine(subject).record_crash(now, &cut);
    }

    fn merge(&mut self, subject: Subject, record: Record, age: u32) {
        let now = self.now;
        if self.fault == Some(InputFault::TrustAges) {
            let began = now.0.checked_sub(u64::from(age) * 1_000);
            began.expect("the age of a record is not longer than the clock has run");
        }
        let id = subject.id();
        let mut records = SubjectRecords::default();
        match record {
            Record::Crash => records.crashes.push(CrashRecord(id, 7, age, true, 0)),
            Record::Answer => records.answers.push(AnswerRecord(id, age)),
            Record::Hold(trials) => records.holds.push(HoldRecord(id, age, age / 2, trials)),
        }
        let sent = Some(DigestTime {
            process: age,
            at_ms: u64::from(age / 2),
        });
        let digest = match subject {
            Subject::Request(_) => QuarantineDigest {
                requests: records,
                sent,
                ..QuarantineDigest::default()
            },
            Subject::Section(_) => QuarantineDigest {
                crashes: records.crashes,
                answers: records.answers,
                holds: records.holds,
                requests: SubjectRecords::default(),
                sent,
            },
        };
        self.quarantine(subject).merge(now, &digest);
    }

    fn pass_trial(&mut self, subject: Subject, serial: u32, message: TrialInput) {
        let now = self.now;
        let quarantine = self.quarantine(subject);
        match message {
            TrialInput::Ask(since_ms, home) => {
                let ask = TrialAsk {
                    also: None,
                    serial,
                    subject,
                    since_ms,
                    trials: serial as u8,
                    target: TrialTarget::default(),
                };
                quarantine.answer_ask(now, 1, &ask, home);
            }
            TrialInput::Reply(verdict) => {
                quarantine.finish_ask(now, TrialId { subject, serial }, verdict);
            }
            TrialInput::Ended(from, outcome) => {
                let ended = TrialEnded {
                    serial,
                    subject,
                    outcome,
                };
                quarantine.end_trial(now, from, &ended);
            }
        }
    }

    /// Checks the sizes of what is kept and told.
    fn check(&mut self) -> Result<(), String> {
        let shown = self.now + HOLD_SHOWN;
        let held = self.quarantines.iter();
        let held: Vec<HeldSubject> = held.flat_map(|q| q.held_subjects(shown, 0)).collect();
        let is_section = |held: &&HeldSubject| matches!(held.subject, Subject::Section(_));
        let sections = held.iter().filter(is_section).count();
        let suspects: usize = self.quarantines.iter().map(Quarantine::suspect_count).sum();
        let answered: usize = self
            .quarantines
            .iter()
            .map(Quarantine::answered_count)
            .sum();
        for (name, size, limit) in [
            ("held sections", sections, MAX_HELD),
            ("held requests", held.len() - sections, MAX_HELD),
            ("suspects", suspects, MAX_SUSPECTS),
            ("answered subjects", answered, MAX_ANSWERED),
        ] {
            if size > limit {
                return Err(format!("{size} {name} are kept, {limit} are allowed"));
            }
        }
        let copies = if self.fault == Some(InputFault::JoinDigests) {
            2
        } else {
            1
        };
        for quarantine in &mut self.quarantines {
            let digest = quarantine.digest(self.now);
            let mut bytes = Vec::new();
            for _ in 0..copies {
                ciborium::into_writer(&digest, &mut bytes).map_err(|error| error.to_string())?;
            }
            if bytes.len() >= MAX_DATAGRAM_BYTES {
                return Err(format!("a digest has {} bytes", bytes.len()));
            }
        }
        Ok(())
    }
}

impl Simulation<Input> for InputSim {
    fn step(&mut self, step: &Input) -> Result<(), String> {
        let now = self.now;
        match *step {
            Input::Advance(millis) => self.now = now + Duration::from_millis(millis),
            Input::Cut {
                subjects,
                endpoint,
                age_ms,
                begun,
            } => {
                for subject in subjects.iter() {
                    self.cut(subject, endpoint, age_ms, begun);
                }
            }
            Input::Answer { subjects, age_ms } => {
                let began = now - Duration::from_millis(age_ms);
                for subject in subjects.iter() {
                    let one = [subject].into_iter();
                    self.quarantine(subject).record_answer(now, began, one);
                }
            }
            Input::Merge {
                subjects,
                record,
                age,
            } => {
                for subject in subjects.iter() {
                    self.merge(subject, record, age);
                }
            }
            Input::Restore {
                subjects,
                since_ms,
                unix_ms,
            } => {
                for subject in subjects.iter() {
                    let held = HeldSubject {
                        subject,
                        since_ms,
                        asked_ms: since_ms,
                        trials: 1,
                    };
                    self.quarantine(subject).restore(now, unix_ms, &[held]);
                }
            }
            Input::Check { subjects, home } => {
                let target = TrialTarget::default();
                for subject in subjects.iter() {
                    let one = [subject].into_iter();
                    self.quarantine(subject).check(now, one, home, target);
                }
            }
            Input::Trial {
                subjects,
                serial,
                message,
            } => {
                for subject in subjects.iter() {
                    self.pass_trial(subject, serial, message);
                }
            }
            Input::Expire => {
                for quarantine in &mut self.quarantines {
                    quarantine.expire(now);
                }
            }
        }
        self.check()
    }

    fn settle(&mut self) -> Result<(), String> {
        self.check()
    }
}
