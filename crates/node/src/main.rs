//! The entry VM's process.

mod relay;

use clap::{Args, CommandFactory as _, Parser, Subcommand};
use core::net::SocketAddr;
use poplarswitch_adapter::SETTINGS_VARIABLE;
use poplarswitch_node::{Node, Setup};
use poplarswitch_settings::{Secrets, Settings};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use snafu::{ResultExt, Whatever};
use std::{path::PathBuf, process::ExitCode, thread};
use tracing_subscriber::EnvFilter;

/// Routes calls to model engines and plain services by class, tier and load.
#[derive(Debug, Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Options {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    node: Option<NodeOptions>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run as a relay on the operators' platform, whose settings file is named by the
    /// environment.
    Relay {
        /// The settings file of the platform, in place of the one that the environment names.
        #[arg(long, value_name = "FILE", env = SETTINGS_VARIABLE)]
        settings: PathBuf,
        /// Check the settings, print them in the project's own form, and end.
        #[arg(long)]
        print_settings: bool,
    },
}

#[derive(Debug, Args)]
struct NodeOptions {
    /// The settings of the process, in JSON.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Print the settings with defaults filled in, and end.
    #[arg(long)]
    print_settings: bool,
    /// The VM's name, in place of the one in the settings.
    #[arg(long)]
    vm: Option<String>,
    /// The callers' address, in place of the one in the settings.
    #[arg(long)]
    callers: Option<SocketAddr>,
    /// The platform's URL, in place of the one in the settings.
    #[arg(long)]
    platform: Option<String>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    if let Some(Command::Relay {
        settings,
        print_settings,
    }) = options.command
    {
        return relay::run(&settings, print_settings);
    }
    let Some(options) = options.node else {
        let missing = Options::command().error(
            clap::error::ErrorKind::MissingRequiredArgument,
            "--settings <FILE> or a subcommand is required",
        );
        missing.exit();
    };
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()))
        .with_writer(std::io::stderr)
        .init();
    match run(&options) {
        Ok(code) => code,
        Err(error) => {
            tracing::error!("{}", snafu::Report::from_error(&error));
            ExitCode::FAILURE
        }
    }
}

fn run(options: &NodeOptions) -> Result<ExitCode, Whatever> {
    let settings = read(options)?;
    if options.print_settings {
        println!("{}", settings.to_json());
        return Ok(ExitCode::SUCCESS);
    }
    let secrets = Secrets::load(&settings.secrets).whatever_context("secrets")?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).whatever_context("signals")?;
    let setup = Setup::builder().settings(settings).secrets(secrets).build();
    let node = Node::start(setup).whatever_context("start")?;
    tracing::info!(addresses = ?node.addresses(), "started");
    let drainer = node.drainer();
    thread::spawn(move || {
        for _ in signals.forever() {
            tracing::info!("draining");
            drainer.drain();
        }
    });
    node.join();
    tracing::info!("ended");
    Ok(ExitCode::SUCCESS)
}

fn read(options: &NodeOptions) -> Result<Settings, Whatever> {
    let mut settings = Settings::read(&options.settings).whatever_context("settings")?;
    if let Some(vm) = &options.vm {
        settings.vm = vm.as_str().into();
    }
    if let Some(callers) = options.callers {
        settings.addresses.callers = callers;
    }
    if let Some(platform) = &options.platform {
        settings.platform = Some(platform.clone());
    }
    settings.validate().whatever_context("settings")?;
    Ok(settings)
}
