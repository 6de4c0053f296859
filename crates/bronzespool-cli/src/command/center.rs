//! `drain --center`: drains or restores a data centre.

use {
    crate::{args::CenterOrder, client::Client, error::Result, output::Output},
    serde_json::json,
};

/// Sends the change on the base of a revision, which is read first if none is given, so that a copy
/// that is held up on its way changes nothing once another change was made.
pub(super) async fn run(client: Client, order: &CenterOrder) -> Result<Output> {
    let CenterOrder { center, drained, base } = order;
    let path = format!("/v1/centers/{center}");
    let base = match base {
        Some(base) => Some(*base),
        None => {
            let current = client.get(&path).await?;
            if current["drained"] == *drained {
                return Ok(Output::value(current));
            }
            current["revision"].as_u64()
        }
    };
    let action = if *drained { "drain" } else { "restore" };
    client.post(&format!("{path}/{action}"), &json!({ "base": base })).await.map(Output::value)
}
