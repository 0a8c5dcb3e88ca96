import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans, and quotes strings. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(String text) {
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) new Json(text).value();
        return map;
    }

    static String quote(String value) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < 0x20) {
                quoted.append(String.format("\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String key = string();
                expect(':');
                map.put(key, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        skipSpace();
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                read.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> read.append('\n');
                case 't' -> read.append('\t');
                case 'r' -> read.append('\r');
                case 'b' -> read.append('\b');
                case 'f' -> read.append('\f');
                case 'u' -> {
                    read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> read.append(escaped);
            }
        }
        at++;
        return read.toString();
    }

    private char next() {
        skipSpace();
        return text.charAt(at);
    }

    private void expect(char c) {
        if (next() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private void skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
