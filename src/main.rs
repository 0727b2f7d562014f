//! The `laburnumvalve` binary.

use std::process::ExitCode;

use laburnumvalve::cli::{
    self, Command, EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE, GatewayArgs, UsageError,
};
use laburnumvalve::gateway::run::Signals;
use laburnumvalve::options::{Options, SETTINGS};
use laburnumvalve::serve::{self, Sockets};
use laburnumvalve::{explain, gateway, log, operate};
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::from(EXIT_SUCCESS),
        Err(error) => {
            eprintln!("laburnumvalve: {error:#}");
            let usage = error.downcast_ref::<UsageError>().is_some();
            ExitCode::from(if usage { EXIT_USAGE } else { EXIT_FAILURE })
        }
    }
}

fn run() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = cli::parse(&args, |name| std::env::var(name).ok())?;
    match command {
        Command::Print(text) => print!("{text}"),
        Command::ServeCheck(options) => print_settings(&options),
        Command::Serve(options) => Runtime::new()?.block_on(serve(*options))?,
        Command::Gateway(args) => run_gateway(args)?,
        Command::Explain { id, logs } => explain::run(&id, &logs)?,
        Command::Operate(operation, admin_options) => {
            Runtime::new()?.block_on(operate::run(operation, admin_options))?
        }
    }
    Ok(())
}

/// Runs a gateway on a single-threaded runtime, since its machines have a fraction of a core.
fn run_gateway(args: GatewayArgs) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let signals = {
        let _context = runtime.enter();
        Signals::catch()?
    };
    let _writer = log::init_json(&args.log_filter)?;
    let tasks = tokio::task::LocalSet::new();
    runtime.block_on(tasks.run_until(gateway::run::run(args.settings, signals)))
}

fn print_settings(options: &Options) {
    for setting in SETTINGS {
        println!("{} = {}", setting.flag, (setting.format)(options));
    }
}

async fn serve(options: Options) -> eyre::Result<()> {
    log::init(&options)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let sockets = Sockets::bind(&options).await?;
    serve::run(options, sockets, async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    })
    .await
}
