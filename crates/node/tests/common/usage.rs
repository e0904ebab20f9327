//! Memory and CPU use of a process, as reported in `/proc`.

use std::fs;

/// Clock ticks per second, the unit of CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn read_proc(pid: u32, file: &str) -> String {
    fs::read_to_string(format!("/proc/{pid}/{file}")).expect("the process runs")
}

/// Resident memory of a process, in MB of 1024 kB.
pub fn resident_mb(pid: u32) -> f64 {
    let text = read_proc(pid, "status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.expect("the status file states the resident memory in kB") / 1_024.0
}

/// CPU time that a process has used in user and kernel mode, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = read_proc(pid, "stat");
    // The second field is the name in parentheses, which may contain spaces.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| {
        fields[field]
            .parse::<f64>()
            .expect("a number of clock ticks")
    };
    let (user, system) = (ticks(11), ticks(12));
    (user + system) / TICKS_PER_SECOND
}
