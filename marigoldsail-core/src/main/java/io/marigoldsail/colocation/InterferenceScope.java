package io.marigoldsail.colocation;

/** How far a belief about the interference of a best-effort image extends. */
public enum InterferenceScope {
  /** An image interferes with all services or with none. */
  PER_IMAGE,
  /** An image interferes with services of some images and not with those of others. */
  PER_PAIR
}
