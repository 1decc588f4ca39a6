package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Formats jobs as lines of text. Stateless. */
final class JobFormatter {
  private JobFormatter() {}

  static String formatLine(JsonNode job) {
    String line =
        String.format(
            "job %s: %d tasks: %d waiting, %d running, %d done, %d cancelled, %d failed%s",
            job.path("name").asText(),
            job.path("count").asInt(),
            job.path("waiting").asInt(),
            job.path("running").asInt(),
            job.path("done").asInt(),
            job.path("cancelled").asInt(),
            job.path("failed").asInt(),
            job.path("ended").asBoolean() ? "; ended" : "");
    String detail = job.path("detail").asText();
    return detail.isEmpty() ? line : line + "; " + detail;
  }

  static List<String> formatTable(Iterable<JsonNode> jobs) {
    Table table =
        new Table(
            "JOB",
            "TEAM",
            "CLASS",
            "TASKS",
            "WAITING",
            "RUNNING",
            "DONE",
            "CANCELLED",
            "FAILED",
            "DETAIL");
    for (JsonNode job : jobs) {
      table.add(
          job.path("name").asText(),
          job.path("team").asText(),
          job.path("taskClass").asText(),
          job.path("count").asText(),
          job.path("waiting").asText(),
          job.path("running").asText(),
          job.path("done").asText(),
          job.path("cancelled").asText(),
          job.path("failed").asText(),
          job.path("detail").asText());
    }
    return table.lines();
  }

  static ExitCode exitCode(JsonNode job) {
    boolean allDone = job.path("failed").asInt() == 0 && job.path("cancelled").asInt() == 0;
    return allDone ? ExitCode.OK : ExitCode.TASKS_FAILED;
  }
}
