package io.marigoldsail.colocation;

/** The effects of best-effort images on service images, see {@link InterferenceModel}. */
@FunctionalInterface
public interface ImageEffects {
  /**
   * Returns the headroom that services of one image lose beside work of another on all processors
   * of their VM; at least 0.
   */
  double effect(String bestEffort, String service);
}
