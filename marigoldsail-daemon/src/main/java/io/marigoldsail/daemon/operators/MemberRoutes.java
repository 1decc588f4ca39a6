package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import java.util.List;
import java.util.function.Supplier;

/** Serves {@code GET /members}: all live processes that an entry knows of, itself included. */
public final class MemberRoutes {
  private final Supplier<List<ProcessMember>> members;

  /** Creates the routes over what gives the live processes. */
  public MemberRoutes(Supplier<List<ProcessMember>> members) {
    this.members = requireNonNull(members, "members");
  }

  /** Serves the route on the given server. */
  public void registerOn(OperatorServer server) {
    server.registerSynchronous("GET", "/members", request -> Result.ok(response()));
  }

  private OperatorResponse response() {
    ObjectNode node = Json.object();
    ArrayNode processes = node.putArray("processes");
    for (ProcessMember member : members.get()) {
      ObjectNode process = processes.addObject();
      process.put("process", member.process());
      process.put("role", member.role());
      process.put("zone", member.zone());
      process.put("operators", member.operatorsAddress());
      process.put("revision", member.revision());
      process.put("leaving", member.draining());
    }
    return OperatorResponse.ok(node);
  }
}
