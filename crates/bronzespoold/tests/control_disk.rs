//! Control instances whose data folders are deleted.

mod common;

use {
    bronzespool_fakes::cluster::{Cluster, Result},
    common::{
        DONE, follower, leader, plan, publish_with_retry, replica_row, revision, send_request,
        status, wait_replicated, wait_until, with_monotone_revision,
    },
    std::fs,
};

/// After a follower's data folder is deleted, a new identity replaces the old one in the status.
/// The leader's data folder is deleted right after. The accepted configuration and the claims
/// survive both losses.
#[tokio::test]
async fn disk_deleted_twice() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    let entries = cluster.entries().to_vec();
    let scenario = async {
        let kinds = ["check", "ledger"];
        publish_with_retry(&cluster, Some(0), "op-0", &kinds, true).await;
        let first = send_request(&cluster, 0, "ledger", Some("key-1")).await.unwrap();
        assert_eq!(first.code(), DONE, "{}", first.json());
        wait_replicated(&cluster).await;

        let name = follower(&cluster).await;
        delete_data_folder(&mut cluster, &name).await;
        let second = send_request(&cluster, 0, "ledger", Some("key-2")).await.unwrap();
        assert_eq!(second.code(), DONE, "{}", second.json());
        let name = leader(&cluster).await;
        delete_data_folder(&mut cluster, &name).await;

        let again = publish_with_retry(&cluster, Some(0), "op-0", &kinds, false).await;
        assert_eq!(revision(&again), 1);
        for (key, answer) in [("key-1", &first), ("key-2", &second)] {
            wait_until("the claim is answered as before", async || {
                let again = send_request(&cluster, 1, "ledger", Some(key)).await?;
                Ok(again.code() == DONE && again.body == answer.body)
            })
            .await;
            assert_eq!(cluster.starts(key).await.unwrap(), 1, "{key} ran again");
        }
        let next = publish_with_retry(&cluster, Some(1), "op-1", &kinds, true).await;
        assert_eq!((revision(&next), &next.json()["in_force"]), (2, &true.into()));
    };
    with_monotone_revision(&entries, scenario).await;
    Ok(())
}

/// Kills a control instance, deletes its data folder, restarts it and waits until its new
/// identity is a voter.
async fn delete_data_folder(cluster: &mut Cluster, name: &str) {
    let identity = replica_row(&status(cluster).await, name)["identity"].clone();
    assert!(identity.is_u64(), "{identity}");
    cluster.process(name).kill().unwrap();
    fs::remove_dir_all(cluster.data(name)).unwrap();
    cluster.process(name).restart().unwrap();
    wait_until("a fresh identity votes", async || {
        let row = replica_row(&cluster.status(0).await?, name);
        Ok(row["identity"].is_u64() && row["identity"] != identity && row["voter"] == true)
    })
    .await;
    wait_replicated(cluster).await;
}
