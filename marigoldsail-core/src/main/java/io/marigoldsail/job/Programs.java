package io.marigoldsail.job;

/** Names of programs. Measurements of a task apply to all tasks of the same program. */
public final class Programs {
  private Programs() {}

  /**
   * Returns the name of the program that a command runs: the team and the command's first word.
   *
   * <p>Job names are no suitable key, because recurring jobs use a new name each time while their
   * program stays the same.
   */
  public static String nameOf(String team, String command) {
    int space = command.indexOf(' ');
    return team + "/" + (space < 0 ? command : command.substring(0, space));
  }
}
