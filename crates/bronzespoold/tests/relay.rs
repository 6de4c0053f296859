//! Calls through a relay while there is no leader.

use {
    bronzespool::{
        batch::message::{Call as BatchCall, ControlMap, Reply as BatchReply},
        core::Code,
        wire::{
            bronzespool_capnp::control,
            frame,
            message::{Call, CallResult, Reply},
            serve::serve_bounded,
        },
    },
    bronzespoold::{
        batch::{LeaderClient, serve_relay},
        clock::Clock,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        task::{LocalSet, spawn_local},
        time::timeout,
    },
};

/// Time for which a caller's call is tried: more than one try of the relay.
const CALL_TIME: Duration = Duration::from_millis(2_500);

/// Time after which a connection counts as not accepted.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// A control instance that does not lead.
struct Control {
    leader: Option<SocketAddr>,
    relays: Vec<SocketAddr>,
}

impl control::Server for Control {
    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let call: Call = frame::decode(params.get()?.get_call()?).unwrap();
        let reply: CallResult = match call {
            Call::LocateControl => Ok(Reply::ControlMap(ControlMap {
                leader: self.leader,
                term: 1,
                members: Vec::new(),
                relays: self.relays.clone(),
            })),
            _ => Err(Code::NoLeader.into()),
        };
        results.get().set_reply(&frame::encode(&reply));
        Ok(())
    }
}

/// A relay that answers every call that it can read.
struct FakeRelay {
    /// Whether it is of a former version, which reads no call with a time.
    former: bool,
    calls: RefCell<Vec<Call>>,
    reads: Cell<u32>,
}

impl control::Server for FakeRelay {
    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let call: Call = frame::decode(params.get()?.get_call()?).unwrap();
        self.reads.set(self.reads.get() + 1);
        if self.former && matches!(call, Call::Relayed { .. }) {
            return Err(capnp::Error::failed("unknown variant".to_owned()));
        }
        self.calls.borrow_mut().push(call);
        results.get().set_reply(&frame::encode(&CallResult::Ok(Reply::Batch(BatchReply::Done))));
        Ok(())
    }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn start_control(leader: Option<SocketAddr>, relays: Vec<SocketAddr>) -> SocketAddr {
    let (listener, address) = bind().await;
    let server: control::Client = capnp_rpc::new_client(Control { leader, relays });
    spawn_local(serve_bounded(listener, server, |_| true));
    address
}

/// Starts a relay whose control names `leader`.
async fn start_relay(leader: Option<SocketAddr>) -> SocketAddr {
    let (listener, address) = bind().await;
    let control = start_control(leader, Vec::new()).await;
    let client = Rc::new(LeaderClient::new(Clock::start(), vec![control]));
    spawn_local(serve_relay(listener, client));
    address
}

/// A listener to which nobody can connect, since its queue is full.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(CONNECT_TIME, TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    (listener, queued)
}

async fn start_fake_relay(former: bool) -> (SocketAddr, Rc<FakeRelay>) {
    let (listener, address) = bind().await;
    let relay = FakeRelay { former, calls: RefCell::default(), reads: Cell::new(0) };
    let relay = Rc::new(relay);
    let server: control::Client = capnp_rpc::new_client_from_rc(Rc::clone(&relay));
    spawn_local(serve_bounded(listener, server, |_| true));
    (address, relay)
}

/// A client that can reach control only through `relay`.
async fn cut_off_client(relay: SocketAddr) -> LeaderClient {
    LeaderClient::new(Clock::start(), vec![start_control(None, vec![relay]).await])
}

// A relay looked for a leader for as long as its caller waited for it, so the caller took a call
// that had not run for one that may have.
#[test]
fn call_relay_without_leader_is_not_carried_out() {
    run_test(async {
        let relay = start_relay(None).await;
        let client = cut_off_client(relay).await;
        let refused = client.call(BatchCall::ReadConfig, CALL_TIME).await.unwrap_err();
        assert_eq!(refused.code(), Code::NoLeader, "no leader was found: {refused}");
    });
}

// The leader could not be connected to, as if cut off. Connecting did not count in the relay's time.
#[test]
fn call_relay_without_connection_to_the_leader_is_not_carried_out() {
    run_test(async {
        let (listener, _queued) = full_listener().await;
        let relay = start_relay(Some(listener.local_addr().unwrap())).await;
        let client = cut_off_client(relay).await;
        let refused = client.call(BatchCall::ReadConfig, CALL_TIME).await.unwrap_err();
        assert_eq!(refused.code(), Code::NoLeader, "the leader was not reached: {refused}");
    });
}

#[test]
fn call_relay_gives_it_less_time_than_the_caller_waits() {
    run_test(async {
        let (address, relay) = start_fake_relay(false).await;
        let client = cut_off_client(address).await;
        let reply = client.call(BatchCall::ReadConfig, CALL_TIME).await.unwrap();
        assert_eq!(reply, BatchReply::Done);
        let calls = relay.calls.borrow();
        let [Call::Relayed { call, within_millis }] = calls.as_slice() else {
            panic!("{calls:?}");
        };
        assert_eq!(**call, BatchCall::ReadConfig);
        assert_eq!(*within_millis, 750, "of the second for which one try waits");
    });
}

#[test]
fn call_relay_without_time_for_it_is_not_sent() {
    run_test(async {
        let (address, relay) = start_fake_relay(false).await;
        let client = cut_off_client(address).await;
        let refused =
            client.call(BatchCall::ReadConfig, Duration::from_millis(290)).await.unwrap_err();
        assert_eq!(refused.code(), Code::NoLeader, "{refused}");
        assert_eq!(relay.reads.get(), 0);
    });
}

#[test]
fn call_relay_of_former_version_is_carried_out() {
    run_test(async {
        let (address, relay) = start_fake_relay(true).await;
        let client = cut_off_client(address).await;
        let reply = client.call(BatchCall::ReadConfig, CALL_TIME).await.unwrap();
        assert_eq!(reply, BatchReply::Done);
        assert_eq!(*relay.calls.borrow(), [Call::Batch(BatchCall::ReadConfig)]);
        assert_eq!(relay.reads.get(), 2);
    });
}
