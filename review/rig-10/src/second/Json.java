package second;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String s;
    private int i;

    private Json(String s) {
        this.s = s;
    }

    static Object read(String s) {
        Json j = new Json(s);
        Object v = j.value();
        j.space();
        if (j.i != s.length()) {
            throw new IllegalArgumentException("text after JSON");
        }
        return v;
    }

    static String text(Object v) {
        StringBuilder b = new StringBuilder();
        put(b, v);
        return b.toString();
    }

    static Map<String, Object> map(Object... kv) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int k = 0; k < kv.length; k += 2) {
            m.put((String) kv[k], kv[k + 1]);
        }
        return m;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asMap(Object o) {
        return (Map<String, Object>) o;
    }

    @SuppressWarnings("unchecked")
    static List<Object> asList(Object o) {
        return o == null ? List.of() : (List<Object>) o;
    }

    static String str(Map<String, Object> m, String k) {
        Object o = m.get(k);
        return o == null ? "" : o.toString();
    }

    static long num(Map<String, Object> m, String k) {
        Object o = m.get(k);
        return o == null ? 0 : o instanceof Number ? ((Number) o).longValue() : Long.parseLong(o.toString());
    }

    private static void put(StringBuilder b, Object v) {
        if (v instanceof Map) {
            b.append('{');
            int n = 0;
            for (Map.Entry<?, ?> e : ((Map<?, ?>) v).entrySet()) {
                b.append(n++ > 0 ? "," : "");
                put(b, e.getKey());
                b.append(':');
                put(b, e.getValue());
            }
            b.append('}');
        } else if (v instanceof Iterable) {
            b.append('[');
            int n = 0;
            for (Object o : (Iterable<?>) v) {
                b.append(n++ > 0 ? "," : "");
                put(b, o);
            }
            b.append(']');
        } else if (v == null || v instanceof Number || v instanceof Boolean) {
            b.append(v);
        } else {
            quote(b, v.toString());
        }
    }

    private static void quote(StringBuilder b, String t) {
        b.append('"');
        for (char c : t.toCharArray()) {
            if (c == '"' || c == '\\') {
                b.append('\\').append(c);
            } else if (c < 32 || c > 126) {
                b.append(String.format("\\u%04x", (int) c));
            } else {
                b.append(c);
            }
        }
        b.append('"');
    }

    private void space() {
        while (i < s.length() && s.charAt(i) <= ' ') {
            i++;
        }
    }

    private Object value() {
        space();
        char c = s.charAt(i);
        switch (c) {
            case '{':
                return object();
            case '[':
                return list();
            case '"':
                return string();
            default:
                return word();
        }
    }

    private Object object() {
        Map<String, Object> m = new LinkedHashMap<>();
        i++;
        space();
        if (s.charAt(i) == '}') {
            i++;
            return m;
        }
        while (true) {
            space();
            String k = string();
            space();
            expect(':');
            m.put(k, value());
            space();
            if (s.charAt(i) == '}') {
                i++;
                return m;
            }
            expect(',');
        }
    }

    private Object list() {
        List<Object> l = new ArrayList<>();
        i++;
        space();
        if (s.charAt(i) == ']') {
            i++;
            return l;
        }
        while (true) {
            l.add(value());
            space();
            if (s.charAt(i) == ']') {
                i++;
                return l;
            }
            expect(',');
        }
    }

    private void expect(char c) {
        if (s.charAt(i) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + i);
        }
        i++;
    }

    private String string() {
        expect('"');
        StringBuilder b = new StringBuilder();
        while (s.charAt(i) != '"') {
            char c = s.charAt(i++);
            if (c != '\\') {
                b.append(c);
                continue;
            }
            c = s.charAt(i++);
            if (c == 'u') {
                b.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
                i += 4;
                continue;
            }
            int k = "nrtbf".indexOf(c);
            b.append(k < 0 ? c : "\n\r\t\b\f".charAt(k));
        }
        i++;
        return b.toString();
    }

    private Object word() {
        int from = i;
        while (i < s.length() && ",]} \n\r\t".indexOf(s.charAt(i)) < 0) {
            i++;
        }
        String w = s.substring(from, i);
        switch (w) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                if (w.indexOf('.') >= 0 || w.indexOf('e') >= 0) {
                    return Double.valueOf(w);
                }
                return Long.valueOf(w);
        }
    }
}
