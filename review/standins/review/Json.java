package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser and writer for the stand-ins: objects, lists, texts, numbers, true, false and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            while (peek() != '}') {
                String key = (String) value();
                expect(':');
                map.put(key, value());
                if (peek() == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            while (peek() != ']') {
                list.add(value());
                if (peek() == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            StringBuilder s = new StringBuilder();
            while (text.charAt(at) != '"') {
                char d = text.charAt(at++);
                if (d == '\\') {
                    d = text.charAt(at++);
                    if (d == 'u') {
                        d = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    } else if (d == 'n') {
                        d = '\n';
                    } else if (d == 't') {
                        d = '\t';
                    }
                }
                s.append(d);
            }
            at++;
            return s.toString();
        }
        int from = at - 1;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private char next() {
        char c = peek();
        at++;
        return c;
    }

    private void expect(char c) {
        if (next() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at + " of " + text);
        }
    }

    static String quote(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
