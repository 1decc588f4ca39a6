package io.marigoldsail.cli.load;

import java.util.concurrent.CompletableFuture;

/** Sends a request and tells how it ended; never throws, never fails the future. */
@FunctionalInterface
interface LoadSender {
  CompletableFuture<LoadResult> send(LoadRequest request);
}
