//! Entry point of the `redwingctl` command line.

use std::env;
use std::process;

fn main() -> process::ExitCode {
    redwing_ctl::run(env::args_os()).into()
}
