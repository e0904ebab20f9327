//! Scripted cases of the review: stand-ins for the platform, its replicas, its operator and its clients, and
//! one scenario for each case. Uses the standard library only.
//!
//! Usage: `harness SCENARIO DIRECTORY`, in the repository's root after the build of the deploy file. The
//! record is written to `DIRECTORY/record.txt`. The exit status is 1 if the rule was broken, 0 if it held and
//! 2 if the case couldn't run. With `TROUBLE=0` in the environment, the scenario leaves its disruption out.

mod client;
mod http;
mod record;
mod replica;
mod scenarios;
mod store;
mod vm;

use record::Record;
use std::{path::PathBuf, process::exit, sync::Arc, thread, time::Duration};

/// Time after which a case that still runs is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(scenario), Some(directory)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: harness SCENARIO DIRECTORY");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = PathBuf::from(directory).join("record.txt");
    let record = match Record::create(&path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            exit(2);
        }
    };
    thread::spawn({
        let record = Arc::clone(&record);
        move || {
            thread::sleep(TIME_LIMIT);
            record.line(
                "harness",
                "time limit reached; the case did not run to its end",
            );
            vm::kill_all();
            exit(2);
        }
    });
    record.line(
        "harness",
        &format!("scenario {scenario}, disruption {has_trouble}"),
    );
    let result = scenarios::run(&scenario, has_trouble, &record);
    vm::kill_all();
    let status = match result {
        Ok(None) => {
            record.line("verdict", "held");
            0
        }
        Ok(Some(broken)) => {
            record.line("verdict", &format!("BROKEN: {broken}"));
            1
        }
        Err(reason) => {
            record.line("verdict", &format!("could not run: {reason}"));
            2
        }
    };
    exit(status);
}
