//! Runs the process as a relay on the operators' platform.

use poplarswitch_adapter::{Adapter, Oddity, read_settings};
use poplarswitch_relay::{RelaySettings, init_logs};
use std::{path::Path, process::ExitCode, sync::Arc};

/// Runs the relay until it has shut down, or prints its settings.
pub(crate) fn run(path: &Path, print: bool) -> ExitCode {
    let (settings, oddities) = match read_settings(path) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if print {
        for oddity in &oddities {
            eprintln!("{oddity}");
        }
        return print_settings(&settings);
    }
    let logs = init_logs();
    oddities.iter().for_each(Oddity::log);
    let reload = || {
        let read = read_settings(path).map_err(|error| error.to_string());
        read.map(|(settings, _)| settings)
    };
    let result = poplarswitch_relay::run(settings, Arc::new(Adapter), reload);
    let code = match &result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "failed", %error, "process");
            ExitCode::FAILURE
        }
    };
    logs.flush();
    code
}

fn print_settings(settings: &RelaySettings) -> ExitCode {
    let errors = settings.check();
    for error in &errors {
        eprintln!("{error}");
    }
    match settings.to_json() {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
    if errors.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
