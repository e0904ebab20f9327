//! `poplarctl status --relay`: shows the duties, the engines and the speed of endpoints.

use crate::{
    error::ToolError,
    exit::Exit,
    fleet::FleetClient,
    output::{Output, table},
};
use core::net::{AddrParseError, Ipv4Addr, SocketAddr};
use serde::Deserialize;
use serde_json::Value;

const STEP: &str = "read the relay's status";
const PATH: &str = "/status";

/// What is shown of a relay's status document.
#[derive(Debug, Deserialize)]
struct RelayStatus {
    vm: String,
    holds_duties: bool,
    holder: Option<Holder>,
    window_recorded: Option<u64>,
    window_reported: Option<u64>,
    engines: Vec<Line>,
    rates: Rates,
}

#[derive(Debug, Deserialize)]
struct Holder {
    ip: Ipv4Addr,
    token: u64,
    released: bool,
}

#[derive(Debug, Deserialize)]
struct Line {
    service: String,
    data_centre: String,
    kind: String,
    desired: Option<u32>,
    ready: u32,
    draining: u32,
}

#[derive(Debug, Deserialize)]
struct Rates {
    spread_percent: u64,
    slowest: Vec<Speed>,
}

#[derive(Debug, Deserialize)]
struct Speed {
    endpoint: String,
    data_centre: String,
    rate: f64,
}

/// Reads an address, with or without the scheme.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, AddrParseError> {
    let text = text.strip_prefix("http://").unwrap_or(text);
    text.trim_end_matches('/').parse()
}

pub(crate) fn run(address: SocketAddr, output: &mut Output<'_>) -> Result<Exit, ToolError> {
    let client = FleetClient::without_secret(address);
    if output.is_json() {
        let document: Value = client.get(address, STEP, PATH)?;
        output.value(&document)?;
    } else {
        print(&client.get(address, STEP, PATH)?, output)?;
    }
    Ok(Exit::Success)
}

fn print(status: &RelayStatus, output: &mut Output<'_>) -> Result<(), ToolError> {
    let role = if status.holds_duties {
        "holds the duties"
    } else {
        "doesn't hold the duties"
    };
    output.line(format_args!("{} {role}", status.vm))?;
    match &status.holder {
        Some(Holder {
            ip,
            token,
            released,
        }) => {
            let released = if *released { ", released" } else { "" };
            output.line(format_args!("holder {ip}, token {token}{released}"))?;
        }
        None => output.line("holder unknown")?,
    }
    output.line(format_args!(
        "last window recorded {}, reported {}",
        number(status.window_recorded),
        number(status.window_reported)
    ))?;
    let mut engines = table(&[
        "SERVICE",
        "DATA CENTRE",
        "KIND",
        "DESIRED",
        "READY",
        "DRAINING",
    ]);
    for line in &status.engines {
        engines.add_row([
            line.service.clone(),
            line.data_centre.clone(),
            line.kind.clone(),
            number(line.desired.map(u64::from)),
            line.ready.to_string(),
            line.draining.to_string(),
        ]);
    }
    output.line(engines)?;
    let spread = status.rates.spread_percent;
    output.line(format_args!("fastest endpoint: {spread}% of the slowest"))?;
    let mut rates = table(&["ENDPOINT", "DATA CENTRE", "SPEED"]);
    for rate in &status.rates.slowest {
        rates.add_row([
            rate.endpoint.clone(),
            rate.data_centre.clone(),
            format!("{:.2}", rate.rate),
        ]);
    }
    output.line(rates)
}

fn number(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}
