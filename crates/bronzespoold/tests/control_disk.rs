//! Control instances that lose their data folders.

mod common;

use {
    bronzespool_fakes::cluster::{Cluster, Result},
    common::{
        DONE, ask, follower, leader, monotone, plan, publish_sure, replica, revision, status,
        until, whole,
    },
    std::fs,
};

/// A fresh identity replaces the lost one and shows in the status; a second disk, the leader's,
/// is lost right after. The accepted configuration and claims survive both.
#[tokio::test]
async fn disk_deleted_twice() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    let entries = cluster.entries().to_vec();
    let scenario = async {
        let kinds = ["check", "ledger"];
        publish_sure(&cluster, Some(0), "op-0", &kinds, true).await;
        let first = ask(&cluster, 0, "ledger", Some("key-1")).await.unwrap();
        assert_eq!(first.code(), DONE, "{}", first.json());
        whole(&cluster).await;

        let name = follower(&cluster).await;
        lose_disk(&mut cluster, &name).await;
        let second = ask(&cluster, 0, "ledger", Some("key-2")).await.unwrap();
        assert_eq!(second.code(), DONE, "{}", second.json());
        let name = leader(&cluster).await;
        lose_disk(&mut cluster, &name).await;

        let again = publish_sure(&cluster, Some(0), "op-0", &kinds, false).await;
        assert_eq!(revision(&again), 1);
        for (key, answer) in [("key-1", &first), ("key-2", &second)] {
            until("the claim is answered as before", async || {
                let again = ask(&cluster, 1, "ledger", Some(key)).await?;
                Ok(again.code() == DONE && again.body == answer.body)
            })
            .await;
            assert_eq!(cluster.starts(key).await.unwrap(), 1, "{key} ran again");
        }
        let next = publish_sure(&cluster, Some(1), "op-1", &kinds, true).await;
        assert_eq!((revision(&next), &next.json()["in_force"]), (2, &true.into()));
    };
    monotone(&entries, scenario).await;
    Ok(())
}

/// Kills a control instance, deletes its data folder, starts it again and waits until its fresh
/// identity is a voter.
async fn lose_disk(cluster: &mut Cluster, name: &str) {
    let identity = replica(&status(cluster).await, name)["identity"].clone();
    assert!(identity.is_u64(), "{identity}");
    cluster.process(name).kill().unwrap();
    fs::remove_dir_all(cluster.data(name)).unwrap();
    cluster.process(name).restart().unwrap();
    until("a fresh identity votes", async || {
        let row = replica(&cluster.status(0).await?, name);
        Ok(row["identity"].is_u64() && row["identity"] != identity && row["voter"] == true)
    })
    .await;
    whole(cluster).await;
}
