package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.Position;
import java.util.concurrent.CompletableFuture;

/** Appends an entry to the configuration's stream exactly once, as the log slice does. */
@FunctionalInterface
public interface ConfigurationAppender {
  /** Returns a future that succeeds once the entry was read back at its place. */
  CompletableFuture<Result<Position>> append(String type, JsonNode body);
}
