package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/** Format in which responses are printed. */
enum OutputFormat {
    /** A table with one heading per column. */
    TABLE {
        @Override
        void print(JsonNode rows, List<String> columns, PrintWriter out) {
            List<List<String>> cells = new ArrayList<>();
            cells.add(columns.stream().map(OutputFormat::heading).toList());
            rows.forEach(row -> cells.add(
                    columns.stream().map(column -> cell(row.at(column))).toList()));
            for (List<String> cellsOfRow : cells) {
                StringBuilder line = new StringBuilder();
                for (int i = 0; i < cellsOfRow.size(); i++) {
                    line.append(pad(cellsOfRow.get(i), width(cells, i))).append("  ");
                }
                out.println(line.toString().stripTrailing());
            }
        }
    },

    /** The JSON of the response, indented. */
    JSON {
        @Override
        void print(JsonNode rows, List<String> columns, PrintWriter out) {
            out.println(rows.toPrettyString());
        }
    };

    /**
     * Prints the rows of a response.
     *
     * @param rows    array of JSON objects for {@link #TABLE}, any JSON value for {@link #JSON}
     * @param columns JSON pointers of the columns; used by {@link #TABLE} only
     * @param out     destination of the output
     */
    abstract void print(JsonNode rows, List<String> columns, PrintWriter out);

    /**
     * Returns the heading of a column.
     *
     * @param pointer JSON pointer of the column
     * @return last segment of the pointer in upper case
     */
    private static String heading(String pointer) {
        return pointer.substring(pointer.lastIndexOf('/') + 1).toUpperCase(java.util.Locale.ROOT);
    }

    /**
     * Formats the value of a cell.
     *
     * @param value value of the cell
     * @return text of the value, fractions with two decimals; a dash if the value is absent
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
     * @param cells  cells by row and column
     * @param column index of the column
     * @return length of the longest cell, in characters
     */
    private static int width(List<List<String>> cells, int column) {
        return cells.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    /**
     * Pads a text with trailing spaces.
     *
     * @param text  text to pad
     * @param width width to pad to, in characters
     * @return the padded text
     */
    private static String pad(String text, int width) {
        return text + " ".repeat(Math.max(0, width - text.length()));
    }
}
