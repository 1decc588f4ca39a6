package io.marigoldsail.daemon.observe;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * One event as a line of key=value pairs, {@code event=} first.
 *
 * <p>Values with spaces, quotes, equals signs or control characters are quoted and escaped, so a
 * line is always one line and splits back into its pairs, whatever a caller sent. Immutable.
 * Rejects nulls.
 *
 * <pre>{@code
 * log.info(LogLine.of("log-outage-began").with("stream", stream).with("offset", offset));
 * }</pre>
 */
public final class LogLine {
  private static final int MAX_VALUE_LENGTH = 2000;

  /** The last character of ASCII that is shown. */
  private static final int LAST_PRINTABLE_ASCII = '~';

  private final String text;

  private LogLine(String text) {
    this.text = text;
  }

  /** Returns a line about an event, named in lower case with hyphens. */
  public static LogLine of(String event) {
    return new LogLine("event=" + quoted(event));
  }

  /** Returns this line with one more pair. */
  public LogLine with(String key, Object value) {
    checkArgument(isKey(key), "not a key: %s", key);
    return withFormatted(key, quoted(String.valueOf(value)));
  }

  /** Returns this line with one more pair. */
  public LogLine with(String key, long value) {
    checkArgument(isKey(key), "not a key: %s", key);
    return withFormatted(key, Long.toString(value));
  }

  private LogLine withFormatted(String key, String shown) {
    int length = text.length() + key.length() + shown.length() + 2;
    return new LogLine(
        new StringBuilder(length)
            .append(text)
            .append(' ')
            .append(key)
            .append('=')
            .append(shown)
            .toString());
  }

  /** Returns this line with what an exception tells, and where it was thrown. */
  public LogLine withError(Throwable error) {
    requireNonNull(error, "error");
    StackTraceElement[] trace = error.getStackTrace();
    LogLine line = with("error", error);
    return trace.length == 0 ? line : line.with("at", trace[0]);
  }

  /** Returns the line, without a line end. */
  @Override
  public String toString() {
    return text;
  }

  private static boolean isKey(String key) {
    for (int i = 0; i < key.length(); i++) {
      char c = key.charAt(i);
      if (c != '_' && c != '.' && !Character.isLetterOrDigit(c)) {
        return false;
      }
    }
    return !key.isEmpty();
  }

  /** Returns the value as it stands after the equals sign. */
  static String quoted(String value) {
    String shown = value;
    if (shown.length() > MAX_VALUE_LENGTH) {
      shown = shown.substring(0, MAX_VALUE_LENGTH) + "...";
    }
    if (!shown.isEmpty() && isPlain(shown)) {
      return shown;
    }
    StringBuilder quoted = new StringBuilder(shown.length() + 2).append('"');
    for (int i = 0; i < shown.length(); i++) {
      appendEscaped(quoted, shown.charAt(i));
    }
    return quoted.append('"').toString();
  }

  /** A loop and not a stream: each value of each line comes by here. */
  private static boolean isPlain(String value) {
    for (int i = 0; i < value.length(); i++) {
      if (!isPlain(value.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isPlain(int c) {
    return c > ' ' && c != '"' && c != '=' && c != '\\' && !isControl(c);
  }

  /** Line and paragraph separators end a line for some readers, as control characters do. */
  private static boolean isControl(int c) {
    if (c >= ' ' && c <= LAST_PRINTABLE_ASCII) {
      return c == ' ';
    }
    int type = Character.getType(c);
    return Character.isISOControl(c)
        || type == Character.LINE_SEPARATOR
        || type == Character.PARAGRAPH_SEPARATOR
        || type == Character.SPACE_SEPARATOR;
  }

  private static void appendEscaped(StringBuilder quoted, char c) {
    switch (c) {
      case '"' -> quoted.append("\\\"");
      case '\\' -> quoted.append("\\\\");
      case '\n' -> quoted.append("\\n");
      case '\r' -> quoted.append("\\r");
      case '\t' -> quoted.append("\\t");
      default -> {
        if (c != ' ' && isControl(c)) {
          quoted.append(String.format("\\u%04x", (int) c));
        } else {
          quoted.append(c);
        }
      }
    }
  }
}
