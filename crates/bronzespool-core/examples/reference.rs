//! Prints the generated part of a documentation page: `reference settings` or `reference codes`.

use {
    bronzespool_core::{code, settings::reference},
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    match env::args().nth(1).as_deref() {
        Some("settings") => println!("{}", reference::settings_reference()),
        Some("codes") => println!("{}", code::table()),
        _ => {
            eprintln!("usage: reference settings | codes");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
