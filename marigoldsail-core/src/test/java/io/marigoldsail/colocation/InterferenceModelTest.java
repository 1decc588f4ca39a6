package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class InterferenceModelTest {
  private static final String HEAVY = "heavy";
  private static final String LIGHT = "light";
  private static final String SERVICE = "service";

  private final InterferenceModel model = new InterferenceModel();

  /** Starts a task on a tenth of the VM and ends it again, with the given loss of headroom. */
  private void startAndEnd(String image, String service, double loss) {
    model.observe(service, 3, 3 - loss, Map.of(image, 0.1));
    model.observe(service, 3 - loss, 3, Map.of(image, -0.1));
  }

  @Test
  void pairWithoutEvidenceHasThePriorEffect() {
    assertEquals(InterferenceModel.PRIOR_EFFECT, model.effect(HEAVY, SERVICE));
  }

  /** Guards against one belief for each image: it would keep the task from all services. */
  @Test
  void imageIsHarmfulToOneServiceAndHarmlessToAnother() {
    for (int i = 0; i < 10; i++) {
      startAndEnd(HEAVY, SERVICE, 0.8);
      startAndEnd(HEAVY, "other", 0);
    }
    assertEquals(8, model.effect(HEAVY, SERVICE), 1);
    assertEquals(0, model.effect(HEAVY, "other"), 0.5);
  }

  /** Guards against blame for images that work beside the harmful one. */
  @Test
  void effectsOfImagesThatChangeTogetherAreToldApart() {
    for (int i = 0; i < 10; i++) {
      model.observe(SERVICE, 3, 2.2, Map.of(HEAVY, 0.1, LIGHT, 0.1));
      startAndEnd(LIGHT, SERVICE, 0);
      model.observe(SERVICE, 2.2, 3, Map.of(HEAVY, -0.1, LIGHT, -0.1));
    }
    assertTrue(model.effect(HEAVY, SERVICE) > 5, () -> "" + model.effect(HEAVY, SERVICE));
    assertTrue(model.effect(LIGHT, SERVICE) < 2, () -> "" + model.effect(LIGHT, SERVICE));
  }

  /** Guards against an effect that seems small because the service had hardly headroom to lose. */
  @Test
  void saturatedTailDoesNotLowerTheEstimate() {
    for (int i = 0; i < 10; i++) {
      startAndEnd(HEAVY, SERVICE, 1.5);
    }
    double before = model.effect(HEAVY, SERVICE);
    model.observe(SERVICE, 1, 0.2, Map.of(HEAVY, 0.2));
    assertEquals(before, model.effect(HEAVY, SERVICE));
  }

  @Test
  void evidenceOfOtherVmsCounts() {
    for (int i = 0; i < 10; i++) {
      startAndEnd(HEAVY, SERVICE, 0.8);
    }
    InterferenceModel other = new InterferenceModel();
    other.setRemoteEvidence(model.localEvidence());
    assertEquals(model.effect(HEAVY, SERVICE), other.effect(HEAVY, SERVICE));
  }

  @Property
  void effectIsFiniteAndNotNegative(
      @ForAll @Size(min = 1, max = 30) @DoubleRange(min = -1, max = 1) double[] changes,
      @ForAll @DoubleRange(min = 0.01, max = 50) double before,
      @ForAll @DoubleRange(min = 0.01, max = 50) double after) {
    InterferenceModel random = new InterferenceModel();
    for (double change : changes) {
      random.observe(SERVICE, before, after, Map.of(HEAVY, change, LIGHT, -change));
    }
    double effect = random.effect(HEAVY, SERVICE);
    assertTrue(effect >= 0 && Double.isFinite(effect), () -> "" + effect);
  }
}
