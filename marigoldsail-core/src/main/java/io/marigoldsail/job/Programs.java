package io.marigoldsail.job;

/** What tasks run, so that what was learned about one counts for others of its kind. */
public final class Programs {
  private Programs() {}

  /**
   * Returns the name of what a command runs: its team and its first word. Jobs come and go under
   * ever new names; the program that a team runs month by month stays.
   */
  public static String nameOf(String team, String command) {
    int space = command.indexOf(' ');
    return team + "/" + (space < 0 ? command : command.substring(0, space));
  }
}
