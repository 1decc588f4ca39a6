package io.marigoldsail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.Position;
import java.util.concurrent.CompletableFuture;

/** Appends an entry to the configuration's stream exactly once. */
@FunctionalInterface
public interface ConfigurationAppender {
  /** Returns a future that succeeds when the entry has been read back. */
  CompletableFuture<Result<Position>> append(String type, JsonNode body);
}
