package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/** Form in which answers are printed. */
enum Output {
    /** Columns. */
    TABLE {
        @Override
        void print(JsonNode rows, List<String> columns, PrintWriter out) {
            List<List<String>> cells = new ArrayList<>();
            cells.add(columns.stream().map(Output::heading).toList());
            rows.forEach(row -> cells.add(
                    columns.stream().map(column -> cell(row.at(column))).toList()));
            for (List<String> line : cells) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < line.size(); i++) {
                    text.append(pad(line.get(i), width(cells, i))).append("  ");
                }
                out.println(text.toString().stripTrailing());
            }
        }
    },

    /** JSON as it came. */
    JSON {
        @Override
        void print(JsonNode rows, List<String> columns, PrintWriter out) {
            out.println(rows.toPrettyString());
        }
    };

    /**
     * Prints rows.
     *
     * @param rows    a list of objects
     * @param columns JSON pointers of the columns
     * @param out     where to print
     */
    abstract void print(JsonNode rows, List<String> columns, PrintWriter out);

    /**
     * Returns the heading of a column.
     *
     * @param pointer its JSON pointer
     * @return its last name in capitals
     */
    private static String heading(String pointer) {
        return pointer.substring(pointer.lastIndexOf('/') + 1).toUpperCase(java.util.Locale.ROOT);
    }

    /**
     * Returns the text of a cell.
     *
     * @param value the value
     * @return its text; a dash if it is absent
     */
    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        return value.isDouble() ? String.format("%.2f", value.asDouble()) : value.asText(value.toString());
    }

    /**
     * Returns the width of a column.
     *
     * @param cells  all cells
     * @param column index of the column
     * @return number of characters
     */
    private static int width(List<List<String>> cells, int column) {
        return cells.stream().mapToInt(line -> line.get(column).length()).max().orElse(0);
    }

    /**
     * Pads a text.
     *
     * @param text  the text
     * @param width number of characters
     * @return the text with spaces behind it
     */
    private static String pad(String text, int width) {
        return text + " ".repeat(Math.max(0, width - text.length()));
    }
}
