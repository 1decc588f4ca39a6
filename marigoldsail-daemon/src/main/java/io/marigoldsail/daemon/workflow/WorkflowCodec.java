package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.DiscardUnknownFieldsParser;
import com.google.protobuf.Parser;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Evacuations;
import io.marigoldsail.protocol.PlaceName;
import io.marigoldsail.protocol.PlacementAdvice;
import io.marigoldsail.protocol.TaskProgress;
import io.marigoldsail.protocol.WorkflowProgress;
import io.marigoldsail.protocol.WorkflowStep;
import io.marigoldsail.protocol.WorkflowSubmission;
import io.marigoldsail.workflow.AdviserTiming;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.TaskRecordState;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import io.marigoldsail.workflow.ZoneEvacuations;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes and decodes workflows as durable records and as frames. Stateless.
 *
 * <p>Any program may have written a record: one that no version of this program writes cannot be
 * decoded. Decoding takes memory in proportion to {@link WorkflowSpec#MAX_TASKS} and to the length
 * of the texts, whatever the record declares.
 */
final class WorkflowCodec {
  /**
   * Maximum number of fields of a record, those of nested messages excluded: tasks, and places or
   * steps, of which there are at most as many.
   */
  private static final int MAX_FIELDS = 2 * WorkflowSpec.MAX_TASKS + 100;

  /** Maximum number of an attempt; far more than a task can have, and that many can follow. */
  private static final int MAX_ATTEMPT = 1_000_000_000;

  private static final Parser<WorkflowSubmission> SUBMISSION_PARSER =
      DiscardUnknownFieldsParser.wrap(WorkflowSubmission.parser());

  private static final Parser<WorkflowProgress> PROGRESS_PARSER =
      DiscardUnknownFieldsParser.wrap(WorkflowProgress.parser());

  /**
   * Follows the tasks of a record that does not hold all of them. A version that knows no parts
   * cannot decode it and leaves the workflow alone; it would start the other tasks anew.
   */
  private static final TaskProgress END_OF_PART = TaskProgress.newBuilder().setFailures(1).build();

  /** Phases of a task in durable records; the numbers must never change. */
  private static final int PHASE_WAITING = 0;

  private static final int PHASE_DONE = 1;

  /**
   * A workflow as read from its submission record.
   *
   * @param hasExactId whether the id is the caller's text; earlier versions kept it in lower case
   */
  record StoredSubmission(WorkflowSpec spec, boolean hasExactId) {}

  private WorkflowCodec() {}

  static ByteString encode(WorkflowSpec spec) {
    WorkflowSubmission.Builder builder =
        WorkflowSubmission.newBuilder()
            .setWorkflowId(spec.id().toString())
            .setId(WorkflowIdCodec.numberOrZero(spec.id()))
            .setQueue(spec.queue())
            .setService(spec.policy().service())
            .setPriority(spec.policy().priority())
            .setMaxFailures(spec.policy().maxFailures())
            .setSlackFactor(spec.policy().slackFactor())
            .setObjectiveMillis(spec.policy().objectiveMillis())
            .setProgram(spec.program())
            .setOccurrences(spec.schedule().occurrences())
            .setFirstDueMillis(spec.schedule().firstDueMillis())
            .setIntervalMillis(spec.schedule().intervalMillis())
            .setAcceptedMillis(spec.acceptedMillis());
    spec.policy().advice().ifPresent(advice -> builder.setAdvice(encode(advice)));
    spec.steps().forEach(step -> builder.addSteps(encode(step)));
    return builder.build().toByteString();
  }

  static Evacuations encode(ZoneEvacuations evacuations) {
    return Evacuations.newBuilder()
        .setRevision(evacuations.revision())
        .addAllZones(evacuations.zones())
        .build();
  }

  static ZoneEvacuations decode(Evacuations evacuations) {
    return new ZoneEvacuations(
        evacuations.getRevision(), ImmutableSet.copyOf(evacuations.getZonesList()));
  }

  private static PlacementAdvice encode(AdviserTiming advice) {
    return PlacementAdvice.newBuilder()
        .setDecideMillis((int) advice.decideMillis())
        .setPeriodMillis((int) advice.periodMillis())
        .setValidMillis((int) advice.validMillis())
        .build();
  }

  private static Optional<AdviserTiming> advice(WorkflowSubmission submission) {
    PlacementAdvice advice = submission.getAdvice();
    return submission.hasAdvice()
        ? Optional.of(
            new AdviserTiming(
                advice.getDecideMillis(), advice.getPeriodMillis(), advice.getValidMillis()))
        : Optional.empty();
  }

  private static WorkflowStep encode(StepSpec step) {
    return WorkflowStep.newBuilder()
        .setTasks(step.tasks())
        .setMilliProcessors((int) step.sizes().milliProcessors())
        .setMemoryMebibytes(mebibytes(step.sizes()))
        .setAccelerators((int) step.sizes().accelerators())
        .setEstimateMillis((int) step.estimateMillis())
        .addAllDependsOn(step.dependsOn())
        .setGang(step.traits().gang())
        .setSameRack(step.placement().sameRack())
        .setRequiredLabel(step.placement().requiredLabel())
        .setPreferredRack(step.placement().preferredRack())
        .setMaxPerVm(step.placement().maxPerVm())
        .setCheckpointable(step.traits().checkpointable())
        .setSpeculative(step.traits().speculative())
        .setLasting(step.traits().longRunning())
        .setImage(step.traits().image())
        .setLatencyTargetMillis((int) step.traits().latencyTargetMillis())
        .setFills(step.traits().bestEffort())
        .setAllowedUnavailable(step.traits().maxUnavailable())
        .build();
  }

  static int mebibytes(Sizes sizes) {
    return (int) (sizes.memoryBytes() / Sizes.BYTES_PER_MEBIBYTE);
  }

  static Sizes sizes(int milliProcessors, int memoryMebibytes, int accelerators) {
    return new Sizes(milliProcessors, memoryMebibytes * Sizes.BYTES_PER_MEBIBYTE, accelerators);
  }

  /** Returns the workflow of a submission record, or empty if it cannot be decoded. */
  static Optional<StoredSubmission> decodeSubmission(ByteString bytes) {
    try {
      WorkflowSubmission submission = parse(SUBMISSION_PARSER, bytes);
      WorkflowSpec.QueuePolicy policy =
          new WorkflowSpec.QueuePolicy(
              submission.getService(),
              submission.getPriority(),
              submission.getMaxFailures(),
              advice(submission),
              submission.getSlackFactor(),
              submission.getObjectiveMillis());
      WorkflowSpec.Schedule schedule =
          new WorkflowSpec.Schedule(
              submission.getOccurrences(),
              submission.getFirstDueMillis(),
              submission.getIntervalMillis());
      ImmutableList<StepSpec> steps =
          submission.getStepsList().stream()
              .map(WorkflowCodec::decode)
              .collect(ImmutableList.toImmutableList());
      WorkflowId id = WorkflowIdCodec.decode(submission.getWorkflowId(), submission.getId());
      checkArgument(
          submission.getId() == WorkflowIdCodec.numberOrZero(id),
          "earlier versions read the record as that of another workflow");
      WorkflowSpec spec =
          new WorkflowSpec(
              id,
              submission.getQueue(),
              policy,
              submission.getProgram(),
              steps,
              schedule,
              submission.getAcceptedMillis());
      return Optional.of(new StoredSubmission(spec, !submission.getWorkflowId().isEmpty()));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static <T> T parse(Parser<T> parser, ByteString bytes) throws IOException {
    // A message takes many times the memory of the two bytes that are enough for an empty one.
    checkArgument(countFields(bytes) <= MAX_FIELDS, "record has too many fields");
    return parser.parseFrom(bytes);
  }

  private static int countFields(ByteString bytes) throws IOException {
    CodedInputStream input = bytes.newCodedInput();
    int count = 0;
    for (int tag = input.readTag(); tag != 0 && input.skipField(tag); tag = input.readTag()) {
      count++;
    }
    return count;
  }

  private static StepSpec decode(WorkflowStep step) {
    checkArgument(
        step.getDependsOnCount() <= WorkflowSpec.MAX_TASKS, "step has too many dependencies");
    return new StepSpec(
        step.getTasks(),
        sizes(step.getMilliProcessors(), step.getMemoryMebibytes(), step.getAccelerators()),
        step.getEstimateMillis(),
        ImmutableList.copyOf(step.getDependsOnList()),
        new StepSpec.Placement(
            step.getRequiredLabel(),
            step.getPreferredRack(),
            step.getSameRack(),
            step.getMaxPerVm()),
        new StepSpec.TaskTraits(
            step.getGang(),
            step.getCheckpointable(),
            step.getSpeculative(),
            step.getLasting(),
            step.getFills(),
            step.getImage(),
            step.getLatencyTargetMillis(),
            step.getAllowedUnavailable()));
  }

  static ByteString encode(WorkflowRecordState state) {
    WorkflowProgress.Builder builder =
        WorkflowProgress.newBuilder()
            .setStatus(state.status().number())
            .setPart(state.isPart())
            .setEndedMillis(state.endedMillis())
            .setService(state.service());
    Map<Place, Integer> positions = new LinkedHashMap<>();
    for (TaskRecordState task : state.tasks()) {
      TaskProgress.Builder progress =
          TaskProgress.newBuilder()
              .setPhase(task.done() ? PHASE_DONE : PHASE_WAITING)
              .setLastAttempt(task.lastAttempt())
              .setFailures(task.failures())
              .setCheckpoint(task.checkpoint());
      task.place()
          .ifPresent(
              place ->
                  progress.setPlace(
                      positions.computeIfAbsent(place, unused -> positions.size() + 1)));
      builder.addTasks(progress);
    }
    if (state.isPart()) {
      builder.addTasks(END_OF_PART);
    }
    for (Place place : positions.keySet()) {
      builder.addPlaces(PlaceName.newBuilder().setVm(place.vm()).setWorker(place.worker()));
    }
    return builder.build().toByteString();
  }

  /** Returns the state of a progress record, or empty if it cannot be decoded. */
  static Optional<WorkflowRecordState> decodeProgress(ByteString bytes) {
    try {
      WorkflowProgress progress = parse(PROGRESS_PARSER, bytes);
      ImmutableList.Builder<TaskRecordState> tasks = ImmutableList.builder();
      int last = progress.getTasksCount() - (progress.getPart() ? 1 : 0);
      checkArgument(last >= 0, "a part has no end");
      for (TaskProgress task : progress.getTasksList().subList(0, last)) {
        checkArgument(task.getLastAttempt() <= MAX_ATTEMPT, "attempt is too large");
        checkArgument(task.getFailures() <= task.getLastAttempt(), "more failures than attempts");
        tasks.add(
            new TaskRecordState(
                task.getPhase() == PHASE_DONE,
                task.getLastAttempt(),
                task.getFailures(),
                place(progress, task.getPlace()),
                task.getCheckpoint()));
      }
      return Optional.of(
          new WorkflowRecordState(
              WorkflowStatus.forNumber(progress.getStatus()),
              tasks.build(),
              progress.getEndedMillis(),
              progress.getService(),
              progress.getPart()));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the number of the outcome in an {@link EndReport}, which also tells of rejections. */
  static int number(RunOutcome outcome) {
    return (outcome == RunOutcome.REJECTED ? RunOutcome.REFUSED : outcome).number();
  }

  static RunOutcome outcome(EndReport end) {
    RunOutcome outcome = RunOutcome.forNumber(end.getOutcome());
    return outcome == RunOutcome.REFUSED && end.getRejected() ? RunOutcome.REJECTED : outcome;
  }

  private static Optional<Place> place(WorkflowProgress progress, int position) {
    if (position < 1 || position > progress.getPlacesCount()) {
      return Optional.empty();
    }
    PlaceName name = progress.getPlaces(position - 1);
    return Optional.of(new Place(name.getVm(), name.getWorker()));
  }
}
