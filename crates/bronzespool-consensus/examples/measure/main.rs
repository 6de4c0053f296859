//! Measurements: `cargo run --release --example measure -- commit|catchup|placement`.

mod catchup;
mod commit;
mod digest;
mod placement;
mod table;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("commit") => commit::run(),
        Some("catchup") => catchup::run(),
        Some("placement") => placement::run(),
        _ => eprintln!("which measurement? commit, catchup or placement"),
    }
}
