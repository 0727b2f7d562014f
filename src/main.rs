//! The `laburnumvalve` binary.

use std::process::ExitCode;

use laburnumvalve::cli::{self, Command, EXIT_DONE, EXIT_FAILED, EXIT_USAGE, UsageError};
use laburnumvalve::operate;
use laburnumvalve::options::SETTINGS;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::from(EXIT_DONE),
        Err(error) => {
            eprintln!("laburnumvalve: {error:#}");
            let usage = error.downcast_ref::<UsageError>().is_some();
            ExitCode::from(if usage { EXIT_USAGE } else { EXIT_FAILED })
        }
    }
}

fn run() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match cli::parse(&args, |name| std::env::var(name).ok())? {
        Command::Print(text) => print!("{text}"),
        Command::ServeCheck(options) => {
            for setting in SETTINGS {
                println!("{} = {}", setting.flag, (setting.show)(&options));
            }
        }
        Command::Serve(_) => eyre::bail!("serve is not available yet"),
        Command::Operate(operation, reach) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?
            .block_on(operate::run(operation, reach))?,
    }
    Ok(())
}
