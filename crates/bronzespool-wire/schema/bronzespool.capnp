@0xb27c1a6e5f0d9843;
# Calls between the processes of the system. Data fields hold versioned frames (see frame.rs).

struct Lease {
  # Result of a renewal.
  millis @0 :UInt32;  # Time for which the session is renewed; zero when it has ended.
}

interface Control {
  # Bootstrap interface of a control instance.
  open @0 (hello :Data, sink :Sink) -> (welcome :Data, session :Session);
  deliver @1 (from :Text, messages :List(Data)) -> ();
  forward @2 (call :Data) -> (reply :Data);
  probe @3 () -> ();
}

interface Session {
  # Held by an entry or an agent.
  renew @0 (acked :UInt64) -> (lease :Lease);
  call @1 (call :Data) -> (reply :Data);
  close @2 () -> ();
}

interface Sink {
  # Implemented by the holder of a session.
  push @0 (update :Data) -> ();
}

interface Agent {
  # Bootstrap interface of an agent.
  run @0 (attempt :Data, body :Data) -> (answer :Data);
  ask @1 (question :Data) -> (answer :Data);
  fence @2 (question :Data) -> (answer :Data);
  probe @3 () -> ();
}
