@0xb27c1a6e5f0d9843;
# Calls between the processes of the system. Data fields hold versioned frames (see frame.rs).

interface Control {
  # Bootstrap interface of a control instance.
  open @0 (hello :Data, sink :Sink) -> (welcome :Data, session :Session);
  # Opens a session of an entry or an agent.
  deliver @1 (from :Text, messages :List(Data)) -> ();
  # Messages of the replicated log.
  forward @2 (call :Data) -> (reply :Data);
  # A call from a hub to the leader.
  probe @3 () -> ();
}

interface Session {
  # Held by an entry or an agent.
  renew @0 (acked :UInt64) -> (millis :UInt32);
  # Renews for the returned time, zero if the session has ended.
  call @1 (call :Data) -> (reply :Data);
  close @2 () -> ();
}

interface Sink {
  # Implemented by the holder of a session. The return acknowledges the update.
  push @0 (update :Data) -> ();
}

interface Agent {
  # Bootstrap interface of an agent.
  run @0 (run :Data, body :Data) -> (reply :Data);
  ask @1 (question :Data) -> (reply :Data);
  fence @2 (question :Data) -> (reply :Data);
  probe @3 () -> (reply :Data);
}
