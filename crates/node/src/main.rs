//! Command line of an entry VM's process.

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
    /// Run as a relay on the operators' platform, with the settings file that `--settings` or its
    /// environment variable names.
    Relay {
        /// Settings file in the platform's format; overrides the environment variable.
        #[arg(long, value_name = "FILE", env = SETTINGS_VARIABLE)]
        settings: PathBuf,
        /// Check the settings, print them in this program's format, and exit.
        #[arg(long)]
        print_settings: bool,
    },
}

#[derive(Debug, Args)]
struct NodeOptions {
    /// Settings file of the process, in JSON.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Print the settings with all defaults, and exit.
    #[arg(long)]
    print_settings: bool,
    /// Name of the VM; overrides the settings.
    #[arg(long)]
    vm: Option<String>,
    /// Address of the callers' port; overrides the settings.
    #[arg(long)]
    callers: Option<SocketAddr>,
    /// URL of the platform; overrides the settings.
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
        let error = Options::command().error(
            clap::error::ErrorKind::MissingRequiredArgument,
            "--settings <FILE> or a subcommand is required",
        );
        error.exit();
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
    let settings = read_settings(options)?;
    if options.print_settings {
        println!("{}", settings.to_json());
        return Ok(ExitCode::SUCCESS);
    }
    let secrets =
        Secrets::load(&settings.secrets).whatever_context("failed to load the secrets")?;
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .whatever_context("failed to register the signal handlers")?;
    let setup = Setup::builder().settings(settings).secrets(secrets).build();
    let node = Node::start(setup).whatever_context("failed to start the node")?;
    tracing::info!(addresses = ?node.addresses(), "started");
    let drain_handle = node.drain_handle();
    thread::spawn(move || {
        for _ in signals.forever() {
            tracing::info!("draining");
            drain_handle.drain();
        }
    });
    node.join();
    tracing::info!("ended");
    Ok(ExitCode::SUCCESS)
}

fn read_settings(options: &NodeOptions) -> Result<Settings, Whatever> {
    let mut settings =
        Settings::read(&options.settings).whatever_context("failed to read the settings")?;
    if let Some(vm) = &options.vm {
        settings.vm = vm.as_str().into();
    }
    if let Some(callers) = options.callers {
        settings.addresses.callers = callers;
    }
    if let Some(platform) = &options.platform {
        settings.platform = Some(platform.clone());
    }
    settings.validate().whatever_context("invalid settings")?;
    Ok(settings)
}
