//! The scenarios, one for each case.

use crate::{
    client::{self, Call, Connection, End},
    record::Record,
    replica::{Plan, Replica},
    store::Store,
    vm::{self, FRONTEND_PORT, Network, READY_PORT, SIGKILL, SIGTERM},
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The rule that was broken, if one was; an error if the case could not run.
type Verdict = Result<Option<String>, String>;

/// Memory of a machine in the site file.
const MEMORY_MB: u64 = 260;
/// Number of replicas of the booking service in the site file, and their slots.
const REPLICAS: u8 = 3;
const SLOTS: usize = 6;
const ZONES: [&str; 3] = ["ifrane", "azrou", "michlifen"];
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(scenario: &str, has_trouble: bool, record: &Arc<Record>) -> Verdict {
    match scenario {
        "drill" => drill(has_trouble, record),
        "uploads" => uploads(has_trouble, record),
        "downloads" => downloads(has_trouble, record),
        "unframed" => unframed(has_trouble, record),
        "relabel" => relabel(has_trouble, record),
        "streams" => streams(has_trouble, record),
        "entries" => entries(has_trouble, record),
        "keep-alive" => keep_alive(has_trouble, record),
        _ => Err(format!("unknown scenario {scenario}")),
    }
}

/// A configuration with the routes of the booking service and the keys of one tenant.
fn config(version: u64, keys: &[&str], timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":100,\"priority\":2,\"service\":\"booking\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resume_streams\":false}}",
            client::HOST
        )
    };
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"booking\",\
         \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"guide\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":64,\"kv_tokens\":695905}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}],\"priority\":1}}]}}",
        route("book", "unsafe", 1),
        route("seats", "safe", 2),
        format!(
            "{{\"name\":\"r-brief\",\"host\":\"{}\",\"path_prefix\":\"/brief/\",\"route_type\":\"stream\",\
             \"timeout_ms\":15000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"guide\",\
             \"max_attempts\":2,\"public\":false,\"sticky\":true,\"resume_streams\":true,\"gap_aim_ms\":250}}",
            client::HOST
        ),
        keys.join(",")
    )
}

/// A deployment that is ready for traffic.
struct Fleet {
    network: Network,
    store: Arc<Store>,
    replicas: Vec<Arc<Replica>>,
}

impl Fleet {
    fn start(vms: u8, config: &str, plan: &Plan, record: &Arc<Record>) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let placeholder = ([127, 0, 0, 1], 0).into();
        let mut network = Network::new(placeholder)?;
        let store = Store::start(network.address(250, 0), record).map_err(text)?;
        network.store = store.address;
        store.put("config", "main", config);
        let mut replicas = Vec::new();
        for number in 0..REPLICAS {
            let id = format!("i-{number}7f3a91c2");
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let address = network.address(100 + number, 0);
            let replica =
                Replica::start(&id, "booking", zone, address, plan.clone(), &store, record);
            replicas.push(replica.map_err(text)?);
        }
        let fleet = Self {
            network,
            store,
            replicas,
        };
        for number in 1..=vms {
            fleet.start_vm(number, record)?;
        }
        for number in 1..=vms {
            fleet.await_ready(number, Duration::from_secs(15))?;
        }
        // The machines are in touch once they have run for `contact_ms` of 3 s.
        thread::sleep(Duration::from_millis(3_500));
        Ok(fleet)
    }

    fn start_vm(&self, number: u8, record: &Record) -> Result<(), String> {
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        self.network.start(number, zone, MEMORY_MB, record)
    }

    fn await_ready(&self, number: u8, limit: Duration) -> Result<(), String> {
        let start = Instant::now();
        let ready = self.network.address(number, READY_PORT);
        while !client::is_ready(ready) {
            if start.elapsed() > limit {
                let log = self.network.log(number);
                return Err(format!(
                    "VM {number} is not ready: {}",
                    &log[log.len().min(2_000)..]
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn frontend(&self, number: u8) -> std::net::SocketAddr {
        self.network.address(number, FRONTEND_PORT)
    }

    /// Number of replicas that have run a request, and whether one has completed it.
    fn runs(&self, id: &str) -> (usize, bool) {
        let mut count = 0;
        let mut is_done = false;
        for replica in &self.replicas {
            for run in replica
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.id == id)
            {
                count += 1;
                is_done |= run.is_done;
            }
        }
        (count, is_done)
    }
}

fn call(id: String, path: &str, key: &str, deadline_ms: u64, body: Vec<u8>) -> Call {
    Call {
        id,
        method: if path.starts_with("/book") {
            "POST"
        } else {
            "GET"
        },
        path: path.to_owned(),
        key: key.to_owned(),
        deadline: Duration::from_millis(deadline_ms),
        body,
    }
}

fn booking_plan() -> Plan {
    Plan {
        slots: SLOTS,
        work: Duration::from_millis(15),
        answer_bytes: 800,
        step_bytes: 0,
        is_unframed: false,
        version: "v1",
        events: None,
        headers: Vec::new(),
    }
}

/// A VM starts again while the store comes back from a copy in which a key is valid that was taken away
/// since. CONFIG, `revoke_strict`.
fn drill(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let (kept, taken) = ("n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk");
    let fleet = Fleet::start(
        3,
        &config(5, &[kept, taken], 1_000),
        &booking_plan(),
        record,
    )?;
    let copy = fleet.store.copy();
    record.line("store", "copy taken");
    let newer = config(8, &[kept], 1_000);
    fleet.store.put("config", "main", &newer);
    let acknowledged = record.now();
    record.line(
        "operator",
        "version 8, which takes a key away, is acknowledged",
    );
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let target = fleet.frontend(1);
    let caller = thread::spawn({
        let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(record));
        move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("taken-{number}");
                sent.lock().unwrap().push((id.clone(), record.now()));
                client::call_once(
                    target,
                    &call(id, "/book/1", taken, 1_000, b"{}".to_vec()),
                    &record,
                );
                thread::sleep(Duration::from_millis(40));
            }
        }
    });
    thread::sleep(Duration::from_secs(7));
    if has_trouble {
        fleet.store.go_away();
        record.line("store", "away");
        thread::sleep(Duration::from_millis(1_000));
        fleet.store.come_back(copy);
        record.line("store", "back, from a copy; the next era begins");
        vm::signal(1, SIGKILL, record);
        thread::sleep(RESTART_DELAY);
        fleet.start_vm(1, record)?;
        thread::sleep(Duration::from_millis(1_500));
        fleet.store.put("config", "main", &newer);
        record.line("operator", "version 8 is written again");
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    caller.join().map_err(|_| "the client failed")?;
    let good = call("kept".to_owned(), "/seats/1", kept, 1_000, Vec::new());
    if client::call_once(target, &good, record) != End::Answered(200) {
        return Err("the VM doesn't serve a valid key in the end".to_owned());
    }
    let sent = sent.lock().unwrap();
    let late = sent.iter().filter(|(_, at)| *at > acknowledged + REVOKE);
    let ran: Vec<&str> = late
        .filter(|(id, _)| fleet.runs(id).0 > 0)
        .map(|(id, _)| id.as_str())
        .collect();
    Ok((!ran.is_empty()).then(|| {
        format!(
            "CONFIG: {} requests with a key that was taken away, sent more than revoke_ms after the \
             acknowledgement, ran: {}",
            ran.len(),
            ran.join(" ")
        )
    }))
}

/// Many clients send long requests, each within the limits of the configuration. Fault, LOST.
fn uploads(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    /// Below `max_body_bytes` of the configuration.
    const BODY_BYTES: usize = 4_000_000;
    /// Clients of a machine on a calm day.
    const CLIENTS: usize = 20;
    /// Largest `x` of `burst` in the site file.
    const BURST: f64 = 2.3;
    /// All clients of a machine together stay below the 125 MB/s of its link.
    const LINK_BYTES_PER_S: usize = 100_000_000;
    const BURST_TIME: Duration = Duration::from_secs(9);
    const MACHINES: u8 = 2;
    let key = "n2ctnfzs989anu6wsjnb";
    /// Clients of a machine with short requests.
    const SHORT_CLIENTS: usize = 5;
    // The longest work of a booking in the site file.
    let plan = Plan {
        work: Duration::from_millis(110),
        ..booking_plan()
    };
    let fleet = Fleet::start(MACHINES, &config(5, &[key], 15_000), &plan, record)?;
    let most_clients = (CLIENTS as f64 * BURST) as usize;
    let clients = if has_trouble { most_clients } else { CLIENTS };
    let rate = LINK_BYTES_PER_S / most_clients;
    record.line(
        "clients",
        &format!(
            "{clients} clients a machine, requests of {BODY_BYTES} bytes, {rate} bytes/s each"
        ),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let platforms: Vec<_> = (1..=MACHINES)
        .map(|number| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
            let network = fleet.network.clone();
            thread::spawn(move || limit_memory(number, &network, &stop, &record))
        })
        .collect();
    let start = Instant::now();
    let callers: Vec<_> = (0..(clients + SHORT_CLIENTS) * usize::from(MACHINES))
        .map(|number| {
            let record = Arc::clone(record);
            let vm = (number % usize::from(MACHINES)) as u8 + 1;
            let target = fleet.frontend(vm);
            let is_short = number / usize::from(MACHINES) >= clients;
            thread::spawn(move || {
                let mut ends = Vec::new();
                let mut connection = None;
                for turn in 0.. {
                    if start.elapsed() > BURST_TIME {
                        break;
                    }
                    let kind = if is_short { "short" } else { "long" };
                    let id = format!("{kind}-{number}-{turn}");
                    let body = vec![b'u'; if is_short { 600 } else { BODY_BYTES }];
                    let is_kept = connection.is_some();
                    let call = call(id.clone(), "/book/1", key, 15_000, body);
                    let open = connection
                        .take()
                        .map_or_else(|| Connection::open(target).ok(), Some);
                    let Some(mut open) = open else {
                        thread::sleep(Duration::from_millis(300));
                        continue;
                    };
                    record.line("client", &format!("{id} is sent to {target}"));
                    let (end, closes) = match open.send(&call, Some(rate)) {
                        Ok(()) => open.receive(None),
                        Err(error) => (End::Unanswered(error.to_string()), true),
                    };
                    record.line("client", &format!("{id}: {end:?}"));
                    ends.push((vm, is_kept, id, end));
                    if !closes {
                        connection = Some(open);
                    }
                }
                ends
            })
        })
        .collect();
    let mut ends = Vec::new();
    for caller in callers {
        ends.extend(caller.join().map_err(|_| "a client failed")?);
    }
    stop.store(true, Ordering::Relaxed);
    let mut exits = Vec::new();
    for platform in platforms {
        exits.push(platform.join().map_err(|_| "the platform failed")?);
    }
    let answered = ends
        .iter()
        .filter(|(_, _, _, end)| *end == End::Answered(200))
        .count();
    let unanswered = ends
        .iter()
        .filter(|(_, _, _, end)| matches!(end, End::Unanswered(_)));
    let unanswered: Vec<_> = unanswered.collect();
    let lost = |vm: u8| {
        let passed_on = unanswered
            .iter()
            .filter(|(at, is_kept, id, _)| *at == vm && *is_kept && fleet.runs(id).0 > 0);
        passed_on.count()
    };
    let lost: Vec<usize> = (1..=MACHINES).map(lost).collect();
    record.line(
        "clients",
        &format!(
            "{answered} requests were served, {} unanswered; on kept connections and passed on, by machine: \
             {lost:?}",
            unanswered.len()
        ),
    );
    if answered == 0 && !has_trouble {
        return Err("nothing was served".to_owned());
    }
    let is_over = exits.iter().any(|exits| *exits > 0);
    Ok((is_over && lost.iter().any(|lost| *lost > 3)).then(|| {
        format!(
            "LOST: the processes exceeded their memory and ended {exits:?} times; {lost:?} requests on kept \
             connections had been passed on to sound replicas and got no answer, {} in all got none",
            unanswered.len()
        )
    }))
}

/// Ends the process of a VM when it exceeds its memory, and starts it again, as the platform does; returns
/// how often it was ended.
fn limit_memory(number: u8, network: &Network, stop: &AtomicBool, record: &Record) -> u32 {
    let who = format!("front-{number}");
    let (mut ends, mut most) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let memory = vm::memory(number);
        most = memory.max(most);
        if memory > MEMORY_MB << 20 {
            record.line(
                "platform",
                &format!("{who} uses {} MB, over its limit", memory >> 20),
            );
            vm::signal(number, SIGKILL, record);
            ends += 1;
            thread::sleep(RESTART_DELAY);
            let settings = network.start(number, ZONES[usize::from(number - 1)], MEMORY_MB, record);
            if let Err(error) = settings {
                record.line("platform", &error);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line("platform", &format!("{who} used {} MB at most", most >> 20));
    ends
}

/// Bytes in a second of a client on a slow link: 160 kbit/s.
const SLOW_BYTES_PER_S: usize = 20_000;
/// Size of the receive buffer of such a client.
const SMALL_WINDOW: i32 = 2_304;

/// Sends a booking from a client on a slow link and reads the answer.
fn book_slowly(target: std::net::SocketAddr, call: &Call, record: &Record) -> End {
    record.line("client", &format!("{} is sent to {target}", call.id));
    let end = match Connection::open_narrow(target, SMALL_WINDOW) {
        Err(_) => End::Unconnected,
        Ok(mut connection) => match connection.send(call, None) {
            Ok(()) => connection.receive(Some(SLOW_BYTES_PER_S)).0,
            Err(error) => End::Unanswered(error.to_string()),
        },
    };
    record.line("client", &format!("{}: {end:?}", call.id));
    end
}

/// A machine is stopped while clients on slow links read their answers. LOST.
fn downloads(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    const ANSWER_BYTES: usize = 100_000;
    const CLIENTS: u64 = 12;
    let key = "n2ctnfzs989anu6wsjnb";
    let plan = Plan {
        answer_bytes: ANSWER_BYTES,
        ..booking_plan()
    };
    let fleet = Fleet::start(2, &config(5, &[key], 15_000), &plan, record)?;
    let target = fleet.frontend(1);
    if has_trouble {
        vm::signal(1, SIGTERM, record);
    }
    let callers: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                // All within the time for which clients may keep the address of the machine.
                thread::sleep(Duration::from_millis(3_500 + 75 * number));
                let id = format!("down-{number}");
                let call = call(id.clone(), "/book/1", key, 15_000, b"{}".to_vec());
                (id, book_slowly(target, &call, &record))
            })
        })
        .collect();
    if has_trouble {
        await_exit(1, record);
    }
    let mut lost = Vec::new();
    for caller in callers {
        let (id, end) = caller.join().map_err(|_| "a client failed")?;
        if matches!(end, End::Unanswered(_) | End::BrokenOff(..)) && fleet.runs(&id).1 {
            lost.push(id);
        }
    }
    Ok((!lost.is_empty()).then(|| {
        format!(
            "LOST: {} answers that replicas had completed broke off around a SIGTERM, before grace_s: {}",
            lost.len(),
            lost.join(" ")
        )
    }))
}

/// Waits until the process of a VM has ended, or for a second more than `grace_s`.
fn await_exit(number: u8, record: &Record) {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(9) {
        if let Some(status) = vm::exit_status(number) {
            record.line(&format!("front-{number}"), &format!("has ended: {status}"));
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Machines are stopped in turn; a client of each reads its answer, which has neither a length nor chunks, only
/// after a pause. MIXED.
fn unframed(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    const MACHINES: u8 = 8;
    /// Pause between two machines.
    const GAP: Duration = Duration::from_millis(1_000);
    const ANSWER_BYTES: usize = 42_000;
    const STEP_BYTES: usize = 3_000;
    const PAUSE: Duration = Duration::from_millis(5_000);
    let key = "n2ctnfzs989anu6wsjnb";
    let plan = Plan {
        answer_bytes: ANSWER_BYTES,
        step_bytes: STEP_BYTES,
        is_unframed: true,
        ..booking_plan()
    };
    let fleet = Fleet::start(MACHINES, &config(5, &[key], 15_000), &plan, record)?;
    let mut callers = Vec::new();
    for number in 1..=MACHINES {
        if has_trouble {
            vm::signal(number, SIGTERM, record);
        }
        let target = fleet.frontend(number);
        let record = Arc::clone(record);
        callers.push(thread::spawn(move || {
            // Within the time for which clients may keep the address of the machine.
            thread::sleep(Duration::from_millis(2_000));
            let id = format!("down-{number}");
            let path = format!("/book/{number}");
            let call = call(id.clone(), &path, key, 15_000, b"{}".to_vec());
            record.line("client", &format!("{id} is sent to {target}"));
            let end = match Connection::open_narrow(target, SMALL_WINDOW) {
                Err(_) => End::Unconnected,
                Ok(mut connection) => match connection.send(&call, None) {
                    Ok(()) => {
                        connection.pause(PAUSE);
                        connection.receive(Some(1_000_000)).0
                    }
                    Err(error) => End::Unanswered(error.to_string()),
                },
            };
            record.line("client", &format!("{id}: {end:?}"));
            if has_trouble {
                await_exit(number, &record);
            }
            (id, end, ANSWER_BYTES + usize::from(number) * STEP_BYTES)
        }));
        thread::sleep(GAP);
    }
    let mut short = Vec::new();
    let mut whole_count = 0;
    for caller in callers {
        let (id, end, whole) = caller.join().map_err(|_| "a client failed")?;
        match end {
            End::Closed(200, bytes) if bytes < whole => {
                short.push(format!("{id} ({bytes} of {whole})"));
            }
            End::Closed(200, _) => whole_count += 1,
            _ => {}
        }
    }
    record.line(
        "clients",
        &format!("{whole_count} whole answers, {} short ones", short.len()),
    );
    if !has_trouble && whole_count == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok((!short.is_empty()).then(|| {
        format!(
            "MIXED: {} answers of sound replicas ended early around a SIGTERM and looked complete: {}",
            short.len(),
            short.join(", ")
        )
    }))
}

/// All processes are killed while replicas of two versions serve side by side, and clients take their streams up
/// again. LOST.
fn streams(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    const MACHINES: u8 = 3;
    const CLIENTS: u32 = 18;
    /// Time from the restart after which the machines are in touch: more than `contact_ms`.
    const IN_TOUCH: Duration = Duration::from_millis(3_600);
    let key = "n2ctnfzs989anu6wsjnb";
    let fleet = Fleet::start(MACHINES, &config(5, &[key], 1_000), &booking_plan(), record)?;
    for number in 0..4 {
        let plan = Plan {
            slots: 64,
            work: Duration::from_millis(150),
            version: if number < 2 { "v1" } else { "v1.2" },
            events: Some(58),
            ..booking_plan()
        };
        let id = format!("i-g{number}f3a91c2");
        let address = fleet.network.address(110 + number, 0);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        Replica::start(&id, "guide", zone, address, plan, &fleet.store, record)
            .map_err(|error| error.to_string())?;
    }
    // Longer than a stream lasts, so that both versions are known.
    thread::sleep(Duration::from_secs(20));
    let request = |id: &str, number: u32, deadline_ms: u64| Call {
        method: "POST",
        ..call(
            id.to_owned(),
            &format!("/brief/{number}"),
            key,
            deadline_ms,
            b"{}".to_vec(),
        )
    };
    let target = |number: u32| fleet.frontend((number % u32::from(MACHINES)) as u8 + 1);
    let break_at = Instant::now() + Duration::from_millis(1_500);
    let mut begun = Vec::new();
    thread::scope(|scope| {
        let request = &request;
        let callers: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let at = target(number);
                scope.spawn(move || {
                    let id = format!("first-{number}");
                    record.line("client", &format!("{id} is sent to {at}"));
                    // A calm client's connection breaks at the time at which the processes are killed.
                    let until = if has_trouble {
                        break_at + Duration::from_secs(9)
                    } else {
                        break_at
                    };
                    let mut connection = Connection::open(at).ok()?;
                    connection
                        .send_stream(&request(&id, number, 15_000), None)
                        .ok()?;
                    let (status, lines, _) = connection.receive_stream(until);
                    let last = lines.last().cloned();
                    record.line("client", &format!("{id}: {status}, last event {last:?}"));
                    Some((number, last?))
                })
            })
            .collect();
        thread::sleep(break_at.saturating_duration_since(Instant::now()));
        if has_trouble {
            for number in 1..=MACHINES {
                vm::signal(number, SIGKILL, record);
            }
        }
        begun = callers
            .into_iter()
            .filter_map(|caller| caller.join().ok().flatten())
            .collect();
    });
    if has_trouble {
        thread::sleep(RESTART_DELAY);
        for number in 1..=MACHINES {
            fleet.start_vm(number, record)?;
        }
    }
    thread::sleep(IN_TOUCH);
    let (mut gone_on, mut new, mut wrong) = (0, 0, 0);
    let (mut turns, mut versions) = (0, Vec::new());
    for (number, last) in &begun {
        let Some((version, event)) = last.split_once(' ') else {
            continue;
        };
        versions.push(version.to_owned());
        let event: u32 = event.parse().unwrap_or(0);
        turns += 1;
        let first = format!("first-{number}");
        let id = format!("again-{number}");
        let at = target(number + 1);
        record.line(
            "client",
            &format!("{id} takes {first} up after event {event} of {version}, at {at}"),
        );
        let until = Instant::now() + Duration::from_millis(400);
        let taken_up = Connection::open(at).and_then(|mut connection| {
            connection.send_stream(&request(&id, *number, 9_000), Some((&first, event)))?;
            Ok(connection.receive_stream(until))
        });
        let (status, lines, _) = taken_up.unwrap_or_default();
        record.line("client", &format!("{id}: {status}, {:?}", lines.first()));
        gone_on += u32::from(lines.first() == Some(&format!("{version} {}", event + 1)));
        wrong += u32::from(
            lines
                .first()
                .is_some_and(|line| !line.starts_with(&format!("{version} "))),
        );
        let id = format!("new-{number}");
        let until = Instant::now() + Duration::from_millis(400);
        let begun = Connection::open(at).and_then(|mut connection| {
            connection.send_stream(&request(&id, number + 100, 9_000), None)?;
            Ok(connection.receive_stream(until))
        });
        let (status, lines, _) = begun.unwrap_or_default();
        record.line("client", &format!("{id}: {status}, {:?}", lines.first()));
        new += u32::from(!lines.is_empty());
    }
    versions.sort();
    versions.dedup();
    record.line(
        "clients",
        &format!(
            "{turns} streams of {versions:?} taken up, {gone_on} went on ({wrong} at another version); \
             {new} of {turns} new ones began"
        ),
    );
    if turns < 12 || new * 2 < turns {
        return Err("too few streams began".to_owned());
    }
    Ok((gone_on * 2 < new).then(|| {
        format!(
            "LOST: of {turns} streams that clients took up again, {gone_on} went on, though two replicas of each \
             version serve; of {turns} new ones {new} began"
        )
    }))
}

/// All machines lose power while another writer's entries lie among those of the replicas. RECOVER.
fn entries(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    const MACHINES: u8 = 3;
    /// Below `value_bytes` of the settings.
    const ENTRY_BYTES: usize = 700_000;
    /// `recovery_s` of the settings.
    const RECOVERY: Duration = Duration::from_secs(12);
    let key = "n2ctnfzs989anu6wsjnb";
    let fleet = Fleet::start(MACHINES, &config(5, &[key], 1_000), &booking_plan(), record)?;
    let serve = |phase: &str| {
        let mut served = 0;
        for number in 0..30 {
            let id = format!("{phase}-{number}");
            let target = fleet.frontend((number % u32::from(MACHINES)) as u8 + 1);
            let call = call(id, "/book/1", key, 1_000, b"{}".to_vec());
            served += u32::from(client::call_once(target, &call, record) == End::Answered(200));
            thread::sleep(Duration::from_millis(60));
        }
        served
    };
    if has_trouble {
        for number in 1..=2 {
            let text = "x".repeat(ENTRY_BYTES);
            let spec = format!("{{\"note\":\"{text}\"}}");
            fleet
                .store
                .put("servers", &format!("a note {number}"), &spec);
            record.line("writer", &format!("wrote the entry 'a note {number}'"));
        }
        thread::sleep(Duration::from_secs(2));
    }
    let before = serve("before");
    for number in 1..=MACHINES {
        vm::signal(number, SIGKILL, record);
    }
    thread::sleep(Duration::from_secs(1));
    for number in 1..=MACHINES {
        fleet.start_vm(number, record)?;
    }
    thread::sleep(RECOVERY);
    let after = serve("after");
    record.line(
        "clients",
        &format!("{before} of 30 served before the fault, {after} of 30 after it"),
    );
    if before < 8 {
        return Err("too little was served before the fault".to_owned());
    }
    Ok((after < 8).then(|| {
        format!("RECOVER: {after} of 30 requests served later than recovery_s after the machines were back")
    }))
}

/// Another writer writes the entry of a replica with a service that isn't named, and the replica leaves. LOST.
fn relabel(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    const CLIENTS: u32 = 12;
    let key = "n2ctnfzs989anu6wsjnb";
    let plan = Plan {
        work: Duration::from_millis(300),
        ..booking_plan()
    };
    let fleet = Fleet::start(2, &config(5, &[key], 1_000), &plan, record)?;
    let target = fleet.frontend(1);
    let leaving = &fleet.replicas[2];
    leaving.await_heartbeat();
    if has_trouble {
        fleet
            .store
            .put("servers", &leaving.id, &leaving.entry("retired", 0));
        record.line(
            "writer",
            &format!(
                "writes the entry of {} with the service 'retired'",
                leaving.id
            ),
        );
    }
    let start = Instant::now();
    let callers: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let mut ends = Vec::new();
                let mut connection = None;
                for turn in 0.. {
                    if start.elapsed() > Duration::from_millis(2_500) {
                        break;
                    }
                    let id = format!("seat-{number}-{turn}");
                    let call = call(id.clone(), "/seats/1", key, 1_000, Vec::new());
                    let is_kept = connection.is_some();
                    let open = connection
                        .take()
                        .map_or_else(|| Connection::open(target).ok(), Some);
                    let Some(mut open) = open else {
                        continue;
                    };
                    record.line(
                        "client",
                        &format!("{id} is sent, on a kept connection: {is_kept}"),
                    );
                    let (end, closes) = match open.send(&call, None) {
                        Ok(()) => open.receive(None),
                        Err(error) => (End::Unanswered(error.to_string()), true),
                    };
                    record.line("client", &format!("{id}: {end:?}"));
                    ends.push((id, is_kept, end));
                    if !closes {
                        connection = Some(open);
                    }
                    // Unanswered clients come back after a moment.
                    thread::sleep(Duration::from_millis(30));
                }
                ends
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    leaving.leave(&fleet.store);
    record.line(
        &leaving.id,
        "leaves; its entry is removed, and it goes on serving",
    );
    let mut ends = Vec::new();
    for caller in callers {
        ends.extend(caller.join().map_err(|_| "a client failed")?);
    }
    let served = ends
        .iter()
        .filter(|(_, _, end)| *end == End::Answered(200))
        .count();
    let lost: Vec<&str> = ends
        .iter()
        .filter(|(id, is_kept, end)| {
            *is_kept && matches!(end, End::Unanswered(_)) && fleet.runs(id).0 > 0
        })
        .map(|(id, _, _)| id.as_str())
        .collect();
    let unanswered = ends
        .iter()
        .filter(|(_, _, end)| matches!(end, End::Unanswered(_)))
        .count();
    record.line(
        "clients",
        &format!("{served} served, {unanswered} unanswered"),
    );
    thread::sleep(Duration::from_secs(10));
    let mut late = 0;
    for number in 0..30 {
        let vm = number % 2 + 1;
        let call = call(
            format!("late-{number}"),
            "/book/1",
            key,
            1_000,
            b"{}".to_vec(),
        );
        let end = client::call_once(fleet.frontend(vm), &call, record);
        late += u32::from(end == End::Answered(200));
    }
    record.line(
        "clients",
        &format!("ten seconds later: {late} of 30 served, at both machines"),
    );
    Ok((lost.len() > 3).then(|| {
        format!(
            "LOST: {} requests on kept connections were passed on to sound replicas and got no answer: {}; \
             ten seconds later {late} of 30 requests were served",
            lost.len(),
            lost.join(" ")
        )
    }))
}

/// A replica names a very long time for idle connections. LOST.
fn keep_alive(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let key = "n2ctnfzs989anu6wsjnb";
    let timeout = if has_trouble { i64::MAX as u64 } else { 60 };
    let plan = Plan {
        headers: vec![("Keep-Alive".to_owned(), format!("timeout={timeout}"))],
        ..booking_plan()
    };
    let fleet = Fleet::start(2, &config(5, &[key], 1_000), &plan, record)?;
    let target = fleet.frontend(1);
    let mut lost = Vec::new();
    for number in 0..20 {
        let id = format!("book-{number}");
        let call = call(id.clone(), "/book/1", key, 1_000, b"{}".to_vec());
        let end = client::call_once(target, &call, record);
        if matches!(end, End::Unanswered(_)) && fleet.runs(&id).1 {
            lost.push(id);
        }
    }
    Ok((lost.len() > 3).then(|| {
        format!(
            "LOST: {} requests ran and ended without an answer: {}",
            lost.len(),
            lost.join(" ")
        )
    }))
}
