package io.marigoldsail.job;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JobFileTest {
  private static final String VALID =
      """
      {"name": "payout-march", "team": "payments", "class": "batch", "count": 20,
       "sizes": {"milliProcessors": 500, "memoryMebibytes": 256},
       "command": "payout --month 3", "runMillis": 60000}
      """;

  private static Result<JobSpec> read(String text) {
    return JobFile.read("payout.json", text.getBytes(UTF_8));
  }

  @Test
  void readsACompleteJob() {
    JobSpec job = read(VALID).value();

    assertEquals("payout-march", job.name());
    assertEquals(20, job.count());
    assertEquals(new Sizes(500, 256L << 20, 0), job.sizes());
    assertTrue(job.idempotent());
    assertEquals(Spread.NONE, job.spread());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          "count": 20         | "count": 0          | key count is 0, not 1 to 10000
          "count": 20         | "count": "20"       | key count is not a whole number: "20"
          "count": 20         | "cuont": 20         | key cuont is not known
          "team": "payments", | ' '                 | key team is missing
          payout-march        | Payout March        | key name "Payout March" is not a name
          "batch"             | "bulk"              | key class "bulk" is neither
          500,                | -1,                 | key sizes.milliProcessors is -1
          256                 | 1.5                 | key sizes.memoryMebibytes is not a whole number
          "runMillis": 60000  | "urgent": 1, "runMillis": 1 | key urgent is not true or false
          "runMillis": 60000  | "runMillis": 1, "finishBy": "soon" | key finishBy "soon" is no instant
          "runMillis": 60000} | "runMillis": 60000  | no valid JSON
          "runMillis": 60000} | "runMillis": 1} {}  | no valid JSON
          "count": 20         | "count": 20, "count": 21 | no valid JSON
          """)
  void reportsFileAndKeyOfAnError(String from, String to, String message) {
    Result<JobSpec> result = read(VALID.replace(from, to));

    Result.Failed<JobSpec> failed = (Result.Failed<JobSpec>) result;
    assertEquals(ErrorKind.INVALID_CONTENT, failed.failure().kind());
    String detail = failed.failure().detail();
    assertTrue(detail.startsWith("payout.json: " + message), detail);
  }

  @Test
  void refusesAnOversizedFile() {
    Result<JobSpec> result = JobFile.read("big.json", new byte[JobFile.MAX_BYTES + 1]);

    assertEquals(ErrorKind.BODY_TOO_LARGE, ((Result.Failed<JobSpec>) result).failure().kind());
  }

  @Property(tries = 500, seed = "77")
  void anyBytesGiveAResult(@ForAll byte[] bytes) {
    assertNotNull(JobFile.read("random.json", bytes));
  }
}
