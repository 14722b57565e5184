//! The `redwinglb` program.

use std::process;

use redwing_node::error::Result;
use redwing_node::settings::{self, CommandChoice};
use redwing_node::{jobs, log, serve, standin};

fn main() -> process::ExitCode {
    let matches = settings::command().get_matches();
    let Some(choice) = settings::from_matches(&matches) else {
        return process::ExitCode::from(2);
    };
    match run(choice) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("redwinglb: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(choice: CommandChoice) -> Result<()> {
    let system = actix_rt::System::new();
    match choice {
        CommandChoice::Serve(settings) => {
            log::init(
                log::LogStream::Error,
                settings.log_format,
                settings.log_level,
            )?;
            system.block_on(serve::serve(*settings))
        }
        CommandChoice::Jobs(settings) => {
            log::init(
                log::LogStream::Output,
                settings.log_format,
                settings.log_level,
            )?;
            system.block_on(jobs::serve(&settings))
        }
        CommandChoice::Standin(choice) => system.block_on(standin::run(choice)),
    }
}
