package io.marigoldsail.cli;

import java.util.ArrayList;
import java.util.List;

/** Aligns rows in columns. Not thread-safe. */
final class Table {
  private final List<List<String>> rows = new ArrayList<>();

  Table(String... header) {
    rows.add(List.of(header));
  }

  void add(String... row) {
    rows.add(List.of(row));
  }

  /** Returns the lines, the header first; the last column is not padded. */
  List<String> lines() {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    List<String> lines = new ArrayList<>();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        String cell = row.get(i);
        line.append(cell);
        line.append(" ".repeat(i == columns - 1 ? 0 : widths[i] - cell.length() + 2));
      }
      lines.add(line.toString().stripTrailing());
    }
    return lines;
  }
}
