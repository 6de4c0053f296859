//! Prints the generated part of `docs/EVENTS.md`.

fn main() {
    print!("{}", bronzespool_telemetry::table());
}
