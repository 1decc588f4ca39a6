package io.marigoldsail.cli.load;

import java.util.concurrent.CompletableFuture;

/** Sends a request and completes the future with its result; never throws or fails the future. */
@FunctionalInterface
interface LoadSender {
  CompletableFuture<LoadResult> send(LoadRequest request);
}
