//! Runs a case of the review: `harness-2 CASE RECORD`. With `TROUBLE=0` in the environment, it leaves
//! out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod fleet;
mod http;
mod link;
mod record;
mod replica;
mod store;

use record::Record;
use std::{env, process::ExitCode, time::Duration};

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let [case, path] = &words[..] else {
        eprintln!("usage: harness-2 CASE RECORD");
        return ExitCode::from(2);
    };
    fleet::end_after(TIME_LIMIT);
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = Record::create(path).and_then(|mut record| {
        record.line(&format!("case {case}, trouble {trouble}"));
        let broken = cases::run(case, &mut record, trouble)?;
        record.line(if broken {
            "the rule was broken"
        } else {
            "the rule held"
        });
        Ok(broken)
    });
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
