package io.marigoldsail.daemon.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.WorkflowTaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PendingOrdersTest {
  private static WorkflowTaskId task(long workflow, int index) {
    return WorkflowTaskId.newBuilder()
        .setWorkflowId(String.format("%016d", workflow))
        .setIndex(index)
        .setAttempt(1)
        .build();
  }

  /** Any orders: each frame fits, names the programs of its starts, and has the number told. */
  @Property(tries = 100)
  void framesOfAnyOrdersFitAndNameTheirPrograms(@ForAll long seed) {
    Random random = new Random(seed);
    PendingOrders orders = new PendingOrders();
    Map<Integer, Integer> frameOfStart = new HashMap<>();
    int others = 0;
    int count = random.nextInt(600);
    for (int i = 0; i < count; i++) {
      long workflow = random.nextInt(40);
      switch (random.nextInt(5)) {
        case 0 -> orders.addStop(task(workflow, i));
        case 1 -> orders.addAcknowledgedEnd(task(workflow, i));
        case 2 -> orders.addSupersededEnd(task(workflow, i));
        default -> {
          StartRun.Builder start =
              StartRun.newBuilder()
                  .setTask(task(workflow, i))
                  .setCheckpoint("c".repeat(random.nextInt(1_025)));
          frameOfStart.put(i, orders.addStart(start, program(workflow)));
          others--;
        }
      }
      others++;
    }
    List<RunOrders.Builder> frames = orders.drain();
    assertTrue(orders.isEmpty());
    int found = 0;
    for (int number = 0; number < frames.size(); number++) {
      RunOrders frame = frames.get(number).build();
      assertTrue(frame.getSerializedSize() <= PendingOrders.MAX_ORDER_BYTES);
      Map<String, String> programs = new HashMap<>();
      for (StartRun start : frame.getStartsList()) {
        if (!start.getSameProgram()) {
          programs.put(start.getTask().getWorkflowId(), start.getProgram());
        }
        assertEquals(
            program(Long.parseLong(start.getTask().getWorkflowId())),
            programs.get(start.getTask().getWorkflowId()));
        assertEquals(number, frameOfStart.remove(start.getTask().getIndex()));
      }
      found += frame.getStopsCount() + frame.getNotedEndsCount() + frame.getSupersededEndsCount();
    }
    assertEquals(Map.of(), frameOfStart);
    assertEquals(others, found);
  }

  private static String program(long workflow) {
    return ("p" + workflow + "-").repeat((int) workflow * 100);
  }

  /** Guards against workflows that share a program, as none of them is told from the others. */
  @Test
  void startWithoutTheTextOfItsIdIsRejected() {
    WorkflowTaskId number = WorkflowTaskId.newBuilder().setWorkflow(7).setAttempt(1).build();
    assertThrows(
        IllegalArgumentException.class,
        () -> new PendingOrders().addStart(StartRun.newBuilder().setTask(number), "program"));
  }

  /** One byte below the limit, at it, and one above. */
  @Test
  void secondFrameBeginsOnlyAboveTheLimit() {
    for (int extra = -1; extra <= 1; extra++) {
      PendingOrders orders = new PendingOrders();
      assertEquals(0, orders.addStart(start(1), "p".repeat(40_000)));
      int used = ordersOf(start(1), "p".repeat(40_000));
      int missing = PendingOrders.MAX_ORDER_BYTES + extra - used;
      String program = "p".repeat(missing - (ordersOf(start(2), "p".repeat(50_000)) - 50_000));
      assertEquals(missing, ordersOf(start(2), program));
      assertEquals(extra <= 0 ? 0 : 1, orders.addStart(start(2), program));
      assertEquals(extra <= 0 ? 1 : 2, orders.drain().size());
    }
  }

  private static StartRun.Builder start(long workflow) {
    return StartRun.newBuilder().setTask(task(workflow, 0));
  }

  private static int ordersOf(StartRun.Builder start, String program) {
    List<StartRun> starts = new ArrayList<>(List.of(start.setProgram(program).build()));
    return RunOrders.newBuilder().addAllStarts(starts).build().getSerializedSize();
  }
}
